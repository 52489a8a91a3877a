package secure

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
)

// Dial returns a gRPC connection to an address, which connects on first use. Name
// resolution, service configs and proxies of the library are disabled.
func Dial(address string, c credentials.TransportCredentials, opts ...grpc.DialOption) (*grpc.ClientConn, error) {
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(c), grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
	}, opts...)
	return grpc.NewClient("passthrough:///"+address, options...)
}
