package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/packing"
)

// Lists of server identifiers and signatures make up most of the traffic between hosts. They are
// packed only if the receiver supports it, so that hosts of two versions interoperate.

// maxStatus is the greatest status that HTTP/1.1 can express.
const maxStatus = 999

// errSignatureCount reports packed signatures that do not match the parts.
var errSignatureCount = errors.New("the number of packed signatures differs from the number of parts")

func encodeHeader(header http.Header) []*relaypb.Header {
	var encoded []*relaypb.Header
	for name, values := range header {
		for _, value := range values {
			encoded = append(encoded, &relaypb.Header{Name: name, Value: []byte(value)})
		}
	}
	return encoded
}

func decodeHeader(encoded []*relaypb.Header) http.Header {
	header := http.Header{}
	for _, h := range encoded {
		header.Add(h.GetName(), string(h.GetValue()))
	}
	return header
}

func encodeReply(r *Reply) *relaypb.ServerReply {
	return &relaypb.ServerReply{Status: uint32(r.Status), Headers: encodeHeader(r.Header), Body: r.Body}
}

func decodeReply(r *relaypb.ServerReply, signature string) *Reply {
	return &Reply{Status: int(r.GetStatus()), Header: decodeHeader(r.GetHeaders()), Body: r.GetBody(), Signature: signature}
}

// durationOf returns a duration in microseconds that a peer sent, or limit if that is shorter. Without a
// limit, a large value would overflow to a negative duration.
func durationOf(micros uint64, limit time.Duration) time.Duration {
	return time.Duration(min(micros, uint64(max(limit, 0).Microseconds()))) * time.Microsecond
}

// IsFinalStatus reports whether a status is that of a final HTTP response, and can be sent.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// setServerIDs sets the servers of a request, packed if packs is set and packing is possible.
func setServerIDs(m *relaypb.GatherRequest, ids []string, packs bool) {
	if packs {
		m.PackedServerIds = packing.Pack(ids)
	}
	if m.PackedServerIds == nil {
		m.ServerIds = ids
	}
}

// unpackRequest replaces the packed list of servers by the plain one.
func unpackRequest(m *relaypb.GatherRequest) error {
	if m.PackedServerIds == nil {
		return nil
	}
	ids, err := packing.Unpack(m.GetPackedServerIds())
	if err != nil {
		return fmt.Errorf("servers in the relayed request %s: %w", m.GetRequestId(), err)
	}
	m.ServerIds, m.PackedServerIds = ids, nil
	return nil
}

// packReply packs the signatures of a reply, if possible.
func packReply(reply *relaypb.GatherReply) {
	var signatures []string
	for _, r := range reply.GetResults() {
		if r.GetOutcome() == relaypb.Outcome_PART {
			signatures = append(signatures, r.GetSignature())
		}
	}
	if reply.PackedSignatures = packing.Pack(signatures); reply.PackedSignatures == nil {
		return
	}
	for _, r := range reply.GetResults() {
		r.Signature = ""
	}
}

// unpackReply restores the signatures of the parts of a reply.
func unpackReply(reply *relaypb.GatherReply) error {
	if reply.PackedSignatures == nil {
		return nil
	}
	signatures, err := packing.Unpack(reply.GetPackedSignatures())
	if err != nil {
		return fmt.Errorf("signatures in the reply of a relay: %w", err)
	}
	for _, r := range reply.GetResults() {
		if r.GetOutcome() != relaypb.Outcome_PART {
			continue
		}
		if len(signatures) == 0 {
			return errSignatureCount
		}
		r.Signature, signatures = signatures[0], signatures[1:]
	}
	if len(signatures) > 0 {
		return errSignatureCount
	}
	return nil
}
