package site

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
)

// KeyDigest identifies an API key of a client account without revealing it.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// ParseKeyDigest parses the hexadecimal form of a digest.
func ParseKeyDigest(text string) (d KeyDigest, ok bool) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(d) {
		return KeyDigest{}, false
	}
	return KeyDigest(data), true
}

// Hex returns the hexadecimal form of a digest, for other daemons only.
func (d KeyDigest) Hex() string { return hex.EncodeToString(d[:]) }

// Format implements fmt.Formatter. It hides the digest in logs and error texts.
func (d KeyDigest) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, "(digest)") }

// MarshalText implements encoding.TextMarshaler. It hides the digest in dumps and logs.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte("(digest)"), nil }

// Keys maps the digests of API keys to client accounts. It is immutable, and shows only the number of keys in dumps, logs
// and error texts.
type Keys struct{ accounts map[KeyDigest]string }

// NewKeys returns the keys with the given digests and accounts.
func NewKeys(accounts map[KeyDigest]string) Keys { return Keys{accounts: maps.Clone(accounts)} }

// Account returns the account of a key. The lookup compares digests, so that its duration reveals nothing about the keys.
func (k Keys) Account(key string) (account string, ok bool) {
	if key == "" {
		return "", false
	}
	account, ok = k.accounts[DigestKey(key)]
	return account, ok
}

// Or returns the keys of both values. The account of a key that both have is that of k.
func (k Keys) Or(other Keys) Keys {
	accounts := maps.Clone(other.accounts)
	if accounts == nil {
		return k
	}
	maps.Copy(accounts, k.accounts)
	return Keys{accounts: accounts}
}

// Without returns the keys that other lacks, at most a number of them.
func (k Keys) Without(other Keys, most int) Keys {
	accounts := map[KeyDigest]string{}
	for digest, account := range k.accounts {
		if _, ok := other.accounts[digest]; !ok && len(accounts) < most {
			accounts[digest] = account
		}
	}
	return Keys{accounts: accounts}
}

// Equal reports whether two values hold the same keys for the same accounts.
func (k Keys) Equal(other Keys) bool { return maps.Equal(k.accounts, other.accounts) }

// Format implements fmt.Formatter.
func (k Keys) Format(f fmt.State, _ rune) { _, _ = fmt.Fprintf(f, "(%d keys)", len(k.accounts)) }

// MarshalJSON implements json.Marshaler.
func (k Keys) MarshalJSON() ([]byte, error) { return json.Marshal(len(k.accounts)) }
