// Package key generates API keys and their hashes. Only the hash of a key is
// stored or sent between entries.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"

	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// secretBytes is the length of the random part of a key in bytes.
const secretBytes = 24

// prefix is the prefix of every key. It lets log scanners detect leaked keys.
const prefix = "bgk_"

// New returns a new key generated from the system's secure random source.
func New() (secret string, err error) {
	random := make([]byte, secretBytes)
	if _, err := rand.Read(random); err != nil {
		return "", fmt.Errorf("generate key: %w", err)
	}
	return prefix + hex.EncodeToString(random), nil
}

// Hash returns the SHA-256 hash of a key in hexadecimal.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// TeamOf returns the team that the key with the given hash is granted to, if any.
func TeamOf(cfg *table.Config, hash string) (team string, ok bool) {
	granted, ok := cfg.Key(hash)
	if !ok {
		return "", false
	}
	if subtle.ConstantTimeCompare([]byte(granted.Hash), []byte(hash)) != 1 {
		return "", false
	}
	return granted.Team, true
}
