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

// TLS holds the paths of the PEM files of a listener or link; TLS is off when all are empty.
type TLS struct {
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	CA          string `json:"ca,omitempty"` // issuer of the peer's certificate
}

// Keeper holds the loaded TLS files and reloads them on the first handshake after they changed.
type Keeper struct {
	files TLS
	log   *slog.Logger

	mutex    sync.Mutex
	versions [3]fileVersion
	loaded   credentials
}

// fileVersion distinguishes versions of a file.
type fileVersion struct {
	time time.Time
	size int64
}

// credentials is a consistent set of loaded files.
type credentials struct {
	certificates []tls.Certificate
	pool         *x509.CertPool
}

// NewKeeper loads the files; it returns nil when all paths are empty.
func NewKeeper(files TLS, log *slog.Logger) (*Keeper, error) {
	if files == (TLS{}) {
		return nil, nil //nolint:nilnil // TLS is optional
	}
	if (files.Certificate == "") != (files.Key == "") {
		return nil, errors.New("tls needs both certificate and key")
	}
	k := &Keeper{files: files, log: log}
	versions, err := files.versions()
	if err != nil {
		return nil, err
	}
	if k.loaded, err = files.load(); err != nil {
		return nil, err
	}
	k.versions = versions
	return k, nil
}

// Server returns a configuration that uses the current files for each handshake.
func (k *Keeper) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := k.current()
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: current.certificates, NextProtos: []string{"http/1.1"}}
			if current.pool != nil {
				c.ClientCAs = current.pool
				c.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return c, nil
		},
	}
}

// Client returns the configuration of a single handshake with host, made from the current files.
func (k *Keeper) Client(host string) *tls.Config {
	current := k.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		ServerName:   host,
		Certificates: current.certificates,
		RootCAs:      current.pool,
		NextProtos:   []string{"http/1.1"},
	}
}

// current returns the loaded files after reloading changed ones.
//
// Files that cannot be loaded, such as a new certificate whose key is not replaced yet, leave the last valid set in use.
func (k *Keeper) current() credentials {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	versions, err := k.files.versions()
	if err == nil && versions == k.versions {
		return k.loaded
	}
	var loaded credentials
	if err == nil {
		loaded, err = k.files.load()
	}
	if err != nil {
		k.log.Warn("reload of TLS files failed, keeping the previous files", "event", "tls.failed", "error", err)
		return k.loaded
	}
	k.versions, k.loaded = versions, loaded
	k.log.Info("reloaded TLS files", "event", "tls.loaded", "certificate", k.files.Certificate)
	return loaded
}

func (t TLS) versions() ([3]fileVersion, error) {
	var all [3]fileVersion
	for i, path := range []string{t.Certificate, t.Key, t.CA} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return all, fmt.Errorf("tls file: %w", err)
		}
		all[i] = fileVersion{time: info.ModTime(), size: info.Size()}
	}
	return all, nil
}

func (t TLS) load() (credentials, error) {
	var loaded credentials
	if t.Certificate != "" {
		c, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
		if err != nil {
			return loaded, fmt.Errorf("load certificate %q: %w", t.Certificate, err)
		}
		loaded.certificates = []tls.Certificate{c}
	}
	if t.CA != "" {
		data, err := os.ReadFile(t.CA)
		if err != nil {
			return loaded, fmt.Errorf("load CA: %w", err)
		}
		loaded.pool = x509.NewCertPool()
		if !loaded.pool.AppendCertsFromPEM(data) {
			return loaded, fmt.Errorf("load CA %q: no certificate in the file", t.CA)
		}
	}
	return loaded, nil
}
