package listen

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"
)

// TLS names the PEM files of a listener or link; it is off when they are all empty.
type TLS struct {
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	CA          string `json:"ca,omitempty"` // signs the peer's certificate
}

// Keeper holds the loaded files and loads them again on the first handshake after they changed.
type Keeper struct {
	files TLS
	log   *slog.Logger

	mutex  sync.Mutex
	stamps [3]stamp
	loaded material
}

// stamp tells versions of a file apart.
type stamp struct {
	time time.Time
	size int64
}

// material is one consistent set of loaded files.
type material struct {
	certificates []tls.Certificate
	pool         *x509.CertPool
}

// NewKeeper loads the files; it returns nil when no file is named.
func NewKeeper(files TLS, log *slog.Logger) (*Keeper, error) {
	if files == (TLS{}) {
		return nil, nil //nolint:nilnil // no TLS is a regular setting
	}
	if (files.Certificate == "") != (files.Key == "") {
		return nil, errors.New("tls needs both certificate and key")
	}
	k := &Keeper{files: files, log: log}
	stamps, err := files.stamps()
	if err != nil {
		return nil, err
	}
	if k.loaded, err = files.load(); err != nil {
		return nil, err
	}
	k.stamps = stamps
	return k, nil
}

// Server returns a configuration whose every handshake uses the current files.
func (k *Keeper) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := k.current()
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: m.certificates, NextProtos: []string{"http/1.1"}}
			if m.pool != nil {
				c.ClientCAs = m.pool
				c.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return c, nil
		},
	}
}

// Client returns the configuration of one handshake with the host, from the current files.
func (k *Keeper) Client(host string) *tls.Config {
	m := k.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		ServerName:   host,
		Certificates: m.certificates,
		RootCAs:      m.pool,
		NextProtos:   []string{"http/1.1"},
	}
}

// current loads changed files; files that do not load, such as a pair replaced by halves, leave the last good ones in use.
func (k *Keeper) current() material {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	stamps, err := k.files.stamps()
	if err == nil && stamps == k.stamps {
		return k.loaded
	}
	var m material
	if err == nil {
		m, err = k.files.load()
	}
	if err != nil {
		k.log.Warn("keeping the loaded TLS files", "event", "tls.failed", "error", err)
		return k.loaded
	}
	k.stamps, k.loaded = stamps, m
	k.log.Info("loaded changed TLS files", "event", "tls.loaded", "certificate", k.files.Certificate)
	return m
}

func (t TLS) stamps() ([3]stamp, error) {
	var all [3]stamp
	for i, path := range []string{t.Certificate, t.Key, t.CA} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return all, fmt.Errorf("tls file: %w", err)
		}
		all[i] = stamp{time: info.ModTime(), size: info.Size()}
	}
	return all, nil
}

func (t TLS) load() (material, error) {
	var m material
	if t.Certificate != "" {
		c, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
		if err != nil {
			return m, fmt.Errorf("load certificate %q: %w", t.Certificate, err)
		}
		m.certificates = []tls.Certificate{c}
	}
	if t.CA != "" {
		data, err := os.ReadFile(t.CA)
		if err != nil {
			return m, fmt.Errorf("load CA: %w", err)
		}
		m.pool = x509.NewCertPool()
		if !m.pool.AppendCertsFromPEM(data) {
			return m, fmt.Errorf("load CA %q: no certificate in the file", t.CA)
		}
	}
	return m, nil
}
