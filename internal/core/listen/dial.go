package listen

import (
	"context"
	"crypto/tls"
	"net"
)

// Dial opens a connection and, unless reloader is nil, performs the TLS handshake with the current files.
func Dial(ctx context.Context, d *net.Dialer, reloader *CertReloader, network, address string) (net.Conn, error) {
	raw, err := d.DialContext(ctx, network, address)
	if err != nil || reloader == nil {
		return raw, err
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	secure := tls.Client(raw, reloader.ClientConfig(host))
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return secure, nil
}
