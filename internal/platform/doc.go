// Package platform contains the client for the platform's key-value service and host
// list: interfaces and an implementation over gRPC.
package platform
