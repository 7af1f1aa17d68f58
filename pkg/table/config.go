package table

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Config is the configuration of the fleet at one revision. It is immutable;
// Apply returns the next one.
type Config struct {
	// Revision counts the accepted changes. It never decreases.
	Revision int64 `json:"revision"`
	// Nonces lists the nonces of the latest changes, the newest last. A writer
	// that received no reply looks up its nonce to determine whether its write
	// took effect.
	Nonces []string `json:"nonces"`
	Tables Tables   `json:"tables"`
	// TablesRevision is the revision of the latest change to the tables; at
	// most Revision.
	TablesRevision int64 `json:"tables_revision"`
	// Keys is sorted by hash, without duplicates.
	Keys []Key `json:"keys"`
	// VMs is sorted by VM. Each VM is listed at most once and so belongs to at
	// most one pool.
	VMs []Assignment `json:"vms"`
	// Voters is sorted by ID.
	Voters []Voter `json:"voters"`
	// Allotments is sorted by team and member. The permits of a team sum to its
	// limit.
	Allotments []Allotment `json:"allotments"`

	ind *index
}

// Key is a granted API key. Only the hash of the key itself is stored.
type Key struct {
	// Hash is the SHA-256 of the key, in hexadecimal.
	Hash string `json:"hash"`
	// Name is the operators' name of the key; unique.
	Name string `json:"name"`
	Team string `json:"team"`
}

// Assignment assigns a VM to a pool.
type Assignment struct {
	VM   string `json:"vm"`
	Pool string `json:"pool"`
}

// Voter is an entry that counts towards majorities: of the entries that must
// have received an accepted change, and of those that an entry must be in
// contact with to start work while the store is unreachable.
type Voter struct {
	// ID is unique to one incarnation of one process.
	ID      string `json:"id"`
	Address string `json:"address"`
	AZ      string `json:"az"`
	// VM is the platform's ID of the voter's own VM, or empty.
	VM string `json:"vm,omitempty"`
}

// Allotment is the number of a team's permits that a member starts with, before
// any transfer. It may be negative after a limit was lowered or a removed
// member's transfers were settled.
type Allotment struct {
	Team    string `json:"team"`
	Member  string `json:"member"`
	Permits int    `json:"permits"`
}

// maxNonces is the number of changes whose nonces a configuration keeps.
const maxNonces = 64

type index struct {
	teams      map[string]Team
	routes     map[string]Route
	requests   []Route // by descending length of path
	pools      map[string]Pool
	keys       map[string]Key
	vms        map[string]string
	poolVMs    map[string][]string
	azsOut     map[string]bool
	voters     map[string]Voter
	allotments map[teamMember]int
}

type teamMember struct {
	team   string
	member string
}

// Decode decodes a configuration from its stored form.
func Decode(data []byte) (cfg *Config, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("decode configuration: %w", err)
		}
	}()
	cfg = &Config{}
	if err := json.Unmarshal(data, cfg); err != nil {
		return nil, err
	}
	return cfg.Indexed(), nil
}

// Encode returns the stored form of the configuration.
func (cfg *Config) Encode() (data []byte, err error) {
	return json.Marshal(cfg)
}

// Empty returns the configuration before the first change.
func Empty() *Config {
	return (&Config{}).Indexed()
}

// Indexed returns the configuration with its lookup indexes built. Decode and
// Apply return indexed configurations; only a literal needs a call to Indexed.
func (cfg *Config) Indexed() *Config {
	next := *cfg
	next.ind = buildIndex(cfg)
	return &next
}

func buildIndex(cfg *Config) *index {
	ind := &index{
		teams:      make(map[string]Team, len(cfg.Tables.Teams)),
		routes:     make(map[string]Route, len(cfg.Tables.Routes)),
		pools:      make(map[string]Pool, len(cfg.Tables.Pools)),
		keys:       make(map[string]Key, len(cfg.Keys)),
		vms:        make(map[string]string, len(cfg.VMs)),
		poolVMs:    make(map[string][]string, len(cfg.Tables.Pools)),
		azsOut:     make(map[string]bool, len(cfg.Tables.AZsOut)),
		voters:     make(map[string]Voter, len(cfg.Voters)),
		allotments: make(map[teamMember]int, len(cfg.Allotments)),
	}
	for _, tea := range cfg.Tables.Teams {
		ind.teams[tea.Name] = tea
	}
	for _, rou := range cfg.Tables.Routes {
		ind.routes[rou.Name] = rou
		if rou.Kind == KindRequest {
			ind.requests = append(ind.requests, rou)
		}
	}
	slices.SortFunc(ind.requests, func(a, b Route) int {
		return cmp.Or(cmp.Compare(len(b.Path), len(a.Path)), cmp.Compare(a.Path, b.Path))
	})
	for _, poo := range cfg.Tables.Pools {
		ind.pools[poo.Name] = poo
	}
	for _, key := range cfg.Keys {
		ind.keys[key.Hash] = key
	}
	for _, asg := range cfg.VMs {
		ind.vms[asg.VM] = asg.Pool
		ind.poolVMs[asg.Pool] = append(ind.poolVMs[asg.Pool], asg.VM)
	}
	for _, az := range cfg.Tables.AZsOut {
		ind.azsOut[az] = true
	}
	for _, vtr := range cfg.Voters {
		ind.voters[vtr.ID] = vtr
	}
	for _, alm := range cfg.Allotments {
		ind.allotments[teamMember{alm.Team, alm.Member}] = alm.Permits
	}
	return ind
}

// Team returns the team with a name.
func (cfg *Config) Team(name string) (tea Team, ok bool) {
	tea, ok = cfg.ind.teams[name]
	return tea, ok
}

// Route returns the route with a name.
func (cfg *Config) Route(name string) (rou Route, ok bool) {
	rou, ok = cfg.ind.routes[name]
	return rou, ok
}

// RouteFor returns the request route with the longest path that is a prefix of
// the given path.
func (cfg *Config) RouteFor(path string) (rou Route, ok bool) {
	for _, rou := range cfg.ind.requests {
		if strings.HasPrefix(path, rou.Path) {
			return rou, true
		}
	}
	return Route{}, false
}

// Pool returns the pool with a name.
func (cfg *Config) Pool(name string) (poo Pool, ok bool) {
	poo, ok = cfg.ind.pools[name]
	return poo, ok
}

// Key returns the key with a hash.
func (cfg *Config) Key(hash string) (key Key, ok bool) {
	key, ok = cfg.ind.keys[hash]
	return key, ok
}

// PoolOf returns the pool of a VM, or "" if the VM belongs to none.
func (cfg *Config) PoolOf(vm string) string {
	return cfg.ind.vms[vm]
}

// VMsOf returns the VMs of a pool, sorted. The caller must not modify the
// slice.
func (cfg *Config) VMsOf(pool string) []string {
	return cfg.ind.poolVMs[pool]
}

// IsAZOut reports whether operators took an availability zone out of service.
func (cfg *Config) IsAZOut(az string) bool {
	return cfg.ind.azsOut[az]
}

// Voter returns the voter with an ID.
func (cfg *Config) Voter(id string) (vtr Voter, ok bool) {
	vtr, ok = cfg.ind.voters[id]
	return vtr, ok
}

// Allotment returns the number of a team's permits that a member starts with.
func (cfg *Config) Allotment(team, member string) int {
	return cfg.ind.allotments[teamMember{team, member}]
}

// HasNonce reports whether one of the latest changes has the given nonce.
func (cfg *Config) HasNonce(nonce string) bool {
	return slices.Contains(cfg.Nonces, nonce)
}

// VoterIDs returns the IDs of the voters, sorted.
func (cfg *Config) VoterIDs() []string {
	ids := make([]string, 0, len(cfg.Voters))
	for _, vtr := range cfg.Voters {
		ids = append(ids, vtr.ID)
	}
	return ids
}
