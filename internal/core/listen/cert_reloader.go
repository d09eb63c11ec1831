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

// TLSFiles holds the paths of the PEM files of a listener or link; TLS is off when all are empty.
type TLSFiles struct {
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	CA          string `json:"ca,omitempty"` // issuer of the peer's certificate
}

// CertReloader holds the loaded TLS files and reloads them on the first handshake after they changed.
type CertReloader struct {
	files TLSFiles
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
	caPool       *x509.CertPool
}

// NewCertReloader loads the files; it returns nil when all paths are empty.
func NewCertReloader(files TLSFiles, log *slog.Logger) (*CertReloader, error) {
	if files == (TLSFiles{}) {
		return nil, nil //nolint:nilnil // TLS is optional
	}
	if (files.Certificate == "") != (files.Key == "") {
		return nil, errors.New("tls needs both certificate and key")
	}
	r := &CertReloader{files: files, log: log}
	versions, err := files.versions()
	if err != nil {
		return nil, err
	}
	if r.loaded, err = files.load(); err != nil {
		return nil, err
	}
	r.versions = versions
	return r, nil
}

// ServerConfig returns a configuration that uses the current files for each handshake.
func (r *CertReloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			loaded := r.current()
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: loaded.certificates, NextProtos: []string{"http/1.1"}}
			if loaded.caPool != nil {
				c.ClientCAs = loaded.caPool
				c.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return c, nil
		},
	}
}

// ClientConfig returns the configuration of a single handshake with host, made from the current files.
func (r *CertReloader) ClientConfig(host string) *tls.Config {
	loaded := r.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		ServerName:   host,
		Certificates: loaded.certificates,
		RootCAs:      loaded.caPool,
		NextProtos:   []string{"http/1.1"},
	}
}

// current returns the loaded files after reloading changed ones.
//
// Files that cannot be loaded, such as a new certificate whose key is not replaced yet, leave the last valid set in use.
func (r *CertReloader) current() credentials {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	versions, err := r.files.versions()
	if err == nil && versions == r.versions {
		return r.loaded
	}
	var loaded credentials
	if err == nil {
		loaded, err = r.files.load()
	}
	if err != nil {
		r.log.Warn("reload of TLS files failed, keeping the previous files", "event", "tls.failed", "error", err)
		return r.loaded
	}
	r.versions, r.loaded = versions, loaded
	r.log.Info("reloaded TLS files", "event", "tls.loaded", "certificate", r.files.Certificate)
	return loaded
}

func (t TLSFiles) versions() ([3]fileVersion, error) {
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

func (t TLSFiles) load() (credentials, error) {
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
		loaded.caPool = x509.NewCertPool()
		if !loaded.caPool.AppendCertsFromPEM(data) {
			return loaded, fmt.Errorf("load CA %q: no certificate in the file", t.CA)
		}
	}
	return loaded, nil
}
