package gateway

import (
	"errors"

	"github.com/mallowgap/mallowgap/api/relaypb"
)

var errNotCoordinator = errors.New("this host does not coordinate others: ask the next host")

// Coordinate implements the relay protocol.
func (g *Gateway) Coordinate(relaypb.DRPCRelay_CoordinateStream) error { return errNotCoordinator }
