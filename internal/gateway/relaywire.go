package gateway

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/packing"
)

// The lists of identifiers and signatures are most of what goes between hosts
// for a query. They are packed where the other host understands it, so that
// hosts of two versions can work together.

// errSignatureCount says that the packed signatures are not those of the parts.
var errSignatureCount = errors.New("the number of packed signatures is not that of the parts")

func encodeHeader(header http.Header) []*relaypb.Header {
	var encoded []*relaypb.Header
	for name, values := range header {
		for _, value := range values {
			encoded = append(encoded, &relaypb.Header{Name: name, Value: value})
		}
	}
	return encoded
}

func decodeHeader(encoded []*relaypb.Header) http.Header {
	header := http.Header{}
	for _, h := range encoded {
		header.Add(h.GetName(), h.GetValue())
	}
	return header
}

func encodeReply(r *Reply) *relaypb.ServerReply {
	return &relaypb.ServerReply{Status: uint32(r.Status), Headers: encodeHeader(r.Header), Body: r.Body}
}

func decodeReply(r *relaypb.ServerReply, signature string) *Reply {
	return &Reply{Status: int(r.GetStatus()), Header: decodeHeader(r.GetHeaders()), Body: r.GetBody(), Signature: signature}
}

// setServerIDs names the servers of a request.
func setServerIDs(m *relaypb.GatherRequest, ids []string, packs bool) {
	if packs {
		m.PackedServerIds = packing.Pack(ids)
	}
	if m.PackedServerIds == nil {
		m.ServerIds = ids
	}
}

// unpackRequest puts the plain list in place of the packed one.
func unpackRequest(m *relaypb.GatherRequest) error {
	if m.PackedServerIds == nil {
		return nil
	}
	ids, err := packing.Unpack(m.GetPackedServerIds())
	if err != nil {
		return fmt.Errorf("servers of the request %s: %w", m.GetRequestId(), err)
	}
	m.ServerIds, m.PackedServerIds = ids, nil
	return nil
}

// packReply packs the signatures of a reply.
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

// unpackReply gives the parts of a reply their signatures.
func unpackReply(reply *relaypb.GatherReply) error {
	if reply.PackedSignatures == nil {
		return nil
	}
	signatures, err := packing.Unpack(reply.GetPackedSignatures())
	if err != nil {
		return fmt.Errorf("signatures of a relay's reply: %w", err)
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
