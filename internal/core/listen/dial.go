package listen

import (
	"context"
	"crypto/tls"
	"net"
)

// Dial opens a connection and, unless keeper is nil, performs the TLS handshake with the current files.
func Dial(ctx context.Context, d *net.Dialer, keeper *Keeper, network, address string) (net.Conn, error) {
	raw, err := d.DialContext(ctx, network, address)
	if err != nil || keeper == nil {
		return raw, err
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	secure := tls.Client(raw, keeper.Client(host))
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return secure, nil
}
