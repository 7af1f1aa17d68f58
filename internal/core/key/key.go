// Package key makes keys and their hashes. Only the hash of a key is ever kept
// or sent between entries.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"

	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// secretBytes is the length of a key's random part, in bytes.
const secretBytes = 24

// prefix marks a string as a key, so that scanners of logs can find one.
const prefix = "bgk_"

// New returns a new key from the system's source of randomness.
func New() (secret string, err error) {
	random := make([]byte, secretBytes)
	if _, err := rand.Read(random); err != nil {
		return "", fmt.Errorf("make key: %w", err)
	}
	return prefix + hex.EncodeToString(random), nil
}

// Hash returns the SHA-256 of a key, in hexadecimal.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// TeamOf returns the team of the key with a hash, if the key is granted.
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
