// Package secure creates the TLS configurations of servers and clients from PEM
// files. Peers authenticate each other with certificates of a common CA; the
// certificate of a desk is optional and verified if presented.
package secure
