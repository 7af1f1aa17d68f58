// Package settings reads the settings file of one entry process. It is read
// once at the start of the process.
package settings

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"

	"github.com/balsamgauge/balsamgauge/internal/source"
)

// Defaults of optional settings.
const (
	defaultConnectionsPerExecutor = 64
	defaultMaxEntries             = 9
	defaultStoreWritesPerSecond   = 100
	defaultTimelineEvents         = 20_000
	defaultStorePrefix            = "/balsamgauge/"
)

// Settings are the settings of one entry process.
type Settings struct {
	// Name is the prefix of the entry's ID, by which the logs and the timeline
	// identify the entry.
	Name   string `toml:"name"`
	Region string `toml:"region"`
	AZ     string `toml:"az"`
	// VM is the platform's name for the VM that the entry runs on. The other
	// entries use it to detect that the platform removed the VM. It is optional.
	VM string `toml:"vm"`
	// Callers, PeerListener and Admin are the addresses to listen on.
	Callers      string `toml:"callers"`
	PeerListener string `toml:"peer_listener"`
	Admin        string `toml:"admin"`
	// Peers are addresses of other entries. The configuration contains those of
	// the voters; Peers are needed if the store is unavailable at the start.
	Peers []string `toml:"peers"`
	// Store is the address of the store's JSON gateway, and StorePrefix the
	// prefix of all keys of the deployment.
	Store       string `toml:"store"`
	StorePrefix string `toml:"store_prefix"`
	// VMList is the address of the platform's list of VMs.
	VMList string `toml:"vm_list"`
	// OperatorKeyHash is the SHA-256 hash of the operators' credential, in
	// hexadecimal.
	OperatorKeyHash string `toml:"operator_key_hash"`
	// MaxEntries is the largest number of entries that run concurrently.
	// ConnectionsPerExecutor is the number of connections that an executor allows
	// in total. It is divided evenly among the entries.
	MaxEntries             int `toml:"max_entries"`
	ConnectionsPerExecutor int `toml:"connections_per_executor"`
	// StoreWritesPerSecond is the limit of all entries together for writes of
	// task records.
	StoreWritesPerSecond int `toml:"store_writes_per_second"`
	// TimelineEvents is the number of latest events that the entry keeps for its
	// timeline.
	TimelineEvents int    `toml:"timeline_events"`
	LogLevel       string `toml:"log_level"`
}

// Load reads and checks a settings file. The error, if any, lists all errors in
// the file with their positions.
func Load(path string) (set Settings, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse decodes and checks the contents of a settings file. The name appears in
// the positions of errors.
func Parse(name string, data []byte) (set Settings, err error) {
	set = Settings{
		StorePrefix:            defaultStorePrefix,
		MaxEntries:             defaultMaxEntries,
		ConnectionsPerExecutor: defaultConnectionsPerExecutor,
		StoreWritesPerSecond:   defaultStoreWritesPerSecond,
		TimelineEvents:         defaultTimelineEvents,
		LogLevel:               "info",
	}
	fil := source.Decode(name, data, &set)
	checkNames(fil, set)
	checkAddresses(fil, set)
	checkNumbers(fil, set)
	return set, fil.Diagnostics.AsError()
}

func checkNames(fil *source.File, set Settings) {
	required := []struct{ key, value string }{
		{"name", set.Name}, {"region", set.Region}, {"az", set.AZ},
	}
	for _, req := range required {
		if req.value == "" {
			fil.Addf(req.key, "%s is missing", req.key)
		}
	}
	if hash, err := hex.DecodeString(set.OperatorKeyHash); err != nil || len(hash) != 32 {
		fil.Addf("operator_key_hash", "operator_key_hash must be a SHA-256 in hexadecimal")
	}
	if !slices.Contains([]string{"debug", "info", "warning", "error"}, set.LogLevel) {
		fil.Addf("log_level", "log_level must be debug, info, warning or error")
	}
}

func checkAddresses(fil *source.File, set Settings) {
	seen := map[string]string{}
	listeners := []struct{ key, value string }{
		{"callers", set.Callers}, {"peer_listener", set.PeerListener}, {"admin", set.Admin},
	}
	for _, lsn := range listeners {
		if _, _, err := net.SplitHostPort(lsn.value); err != nil {
			fil.Addf(lsn.key, "%s must be host:port", lsn.key)
			continue
		}
		// Port 0 stands for any free port, so two such listeners do not collide.
		if other, taken := seen[lsn.value]; taken && lsn.value != "127.0.0.1:0" {
			fil.Addf(lsn.key, "%s is the same address as %s", lsn.key, other)
		}
		seen[lsn.value] = lsn.key
	}
	for _, peer := range set.Peers {
		if _, _, err := net.SplitHostPort(peer); err != nil {
			fil.Addf("peers", "peer %q must be host:port", peer)
		}
	}
	checkURL(fil, "store", set.Store)
	checkURL(fil, "vm_list", set.VMList)
}

func checkURL(fil *source.File, key, value string) {
	adr, err := url.Parse(value)
	if err != nil || adr.Scheme != "http" || adr.Host == "" {
		fil.Addf(key, "%s must be an address such as http://127.0.0.1:2379", key)
	}
}

func checkNumbers(fil *source.File, set Settings) {
	positive := []struct {
		key   string
		value int
	}{
		{"max_entries", set.MaxEntries},
		{"connections_per_executor", set.ConnectionsPerExecutor},
		{"store_writes_per_second", set.StoreWritesPerSecond},
		{"timeline_events", set.TimelineEvents},
	}
	for _, pos := range positive {
		if pos.value < 1 {
			fil.Addf(pos.key, "%s must be at least 1", pos.key)
		}
	}
	if set.MaxEntries > 0 && set.ConnectionsPerExecutor < set.MaxEntries {
		fil.Addf("connections_per_executor", "connections_per_executor must be at least max_entries, so that each entry has one")
	}
}

// ConnectionShare returns the largest number of connections that one entry may
// have to one executor.
func (set Settings) ConnectionShare() int {
	return set.ConnectionsPerExecutor / set.MaxEntries
}
