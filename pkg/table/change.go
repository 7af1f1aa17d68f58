package table

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// A Change is one step from a configuration to the next. The closed set is
// TablesReplaced, KeyGranted, KeyWithdrawn, AZSet, VMsAssigned, VoterJoined
// and VotersRemoved.
type Change interface {
	isChange()
}

// TablesReplaced puts new tables in place of both.
type TablesReplaced struct {
	Tables Tables `json:"tables"`
}

// KeyGranted adds a key.
type KeyGranted struct {
	Key Key `json:"key"`
}

// KeyWithdrawn takes the key with a name away.
type KeyWithdrawn struct {
	Name string `json:"name"`
}

// AZSet takes an availability zone out or back in.
type AZSet struct {
	AZ  string `json:"az"`
	Out bool   `json:"out"`
}

// VMsAssigned puts VMs into pools. An empty pool takes the VM out of the map.
type VMsAssigned struct {
	VMs []Assignment `json:"vms"`
}

// VoterJoined adds a voter.
type VoterJoined struct {
	Voter Voter `json:"voter"`
}

// VotersRemoved removes voters that certainly stopped. The transfers between
// them and the remaining members are folded into the allotments of the latter,
// each of whom must have settled.
type VotersRemoved struct {
	IDs         []string     `json:"ids"`
	Settlements []Settlement `json:"settlements"`
}

// Settlement is what a remaining member says of its transfers with members that
// are to be removed. It is final: the member has ended those transfers.
type Settlement struct {
	Member string `json:"member"`
	// Net is what the member received from the departed less what it sent to
	// them, by team.
	Net []TeamPermits `json:"net,omitempty"`
	// Debts is how much more of a team's work the member runs than its permits
	// allow, because it adopted running tasks.
	Debts []TeamPermits `json:"debts,omitempty"`
}

// TeamPermits is a number of a team's permits.
type TeamPermits struct {
	Team    string `json:"team"`
	Permits int    `json:"permits"`
}

func (TablesReplaced) isChange() {}
func (KeyGranted) isChange()     {}
func (KeyWithdrawn) isChange()   {}
func (AZSet) isChange()          {}
func (VMsAssigned) isChange()    {}
func (VoterJoined) isChange()    {}
func (VotersRemoved) isChange()  {}

// An Edit is a Change on the wire: the revision that it leads to, its nonce,
// and exactly one of the changes.
type Edit struct {
	Revision       int64           `json:"revision"`
	Nonce          string          `json:"nonce"`
	TablesReplaced *TablesReplaced `json:"tables_replaced,omitempty"`
	KeyGranted     *KeyGranted     `json:"key_granted,omitempty"`
	KeyWithdrawn   *KeyWithdrawn   `json:"key_withdrawn,omitempty"`
	AZSet          *AZSet          `json:"az_set,omitempty"`
	VMsAssigned    *VMsAssigned    `json:"vms_assigned,omitempty"`
	VoterJoined    *VoterJoined    `json:"voter_joined,omitempty"`
	VotersRemoved  *VotersRemoved  `json:"voters_removed,omitempty"`
}

// NewEdit wraps a change.
func NewEdit(revision int64, nonce string, change Change) Edit {
	edi := Edit{Revision: revision, Nonce: nonce}
	switch chg := change.(type) {
	case TablesReplaced:
		edi.TablesReplaced = &chg
	case KeyGranted:
		edi.KeyGranted = &chg
	case KeyWithdrawn:
		edi.KeyWithdrawn = &chg
	case AZSet:
		edi.AZSet = &chg
	case VMsAssigned:
		edi.VMsAssigned = &chg
	case VoterJoined:
		edi.VoterJoined = &chg
	case VotersRemoved:
		edi.VotersRemoved = &chg
	}
	return edi
}

// Change returns the change inside, or an error if there is none.
func (edi Edit) Change() (chg Change, err error) {
	switch {
	case edi.TablesReplaced != nil:
		return *edi.TablesReplaced, nil
	case edi.KeyGranted != nil:
		return *edi.KeyGranted, nil
	case edi.KeyWithdrawn != nil:
		return *edi.KeyWithdrawn, nil
	case edi.AZSet != nil:
		return *edi.AZSet, nil
	case edi.VMsAssigned != nil:
		return *edi.VMsAssigned, nil
	case edi.VoterJoined != nil:
		return *edi.VoterJoined, nil
	case edi.VotersRemoved != nil:
		return *edi.VotersRemoved, nil
	default:
		return nil, errors.New("edit holds no change")
	}
}

// Apply returns the configuration after a change, one revision up. It refuses
// a change that makes no sense, such as a key for an unknown team.
func (cfg *Config) Apply(change Change, nonce string) (next *Config, err error) {
	cop := *cfg
	cop.Revision++
	cop.Nonces = append(slices.Clone(cfg.Nonces), nonce)
	cop.Nonces = cop.Nonces[max(0, len(cop.Nonces)-keptNonces):]
	switch chg := change.(type) {
	case TablesReplaced:
		err = cop.replaceTables(chg)
	case KeyGranted:
		err = cop.grantKey(chg.Key)
	case KeyWithdrawn:
		err = cop.withdrawKey(chg.Name)
	case AZSet:
		err = cop.setAZ(chg)
	case VMsAssigned:
		err = cop.assignVMs(chg.VMs)
	case VoterJoined:
		err = cop.joinVoter(chg.Voter)
	case VotersRemoved:
		err = cop.removeVoters(chg)
	}
	if err != nil {
		return nil, err
	}
	return cop.Indexed(), nil
}

func (cfg *Config) replaceTables(chg TablesReplaced) error {
	if err := chg.Tables.Validate(); err != nil {
		return err
	}
	out := cfg.Tables.AZsOut
	cfg.Tables = chg.Tables
	cfg.TablesRevision = cfg.Revision
	if cfg.Tables.AZsOut == nil {
		cfg.Tables.AZsOut = out
	}
	cfg.Allotments = reallot(cfg.Allotments, cfg.Tables.Teams, cfg.VoterIDs())
	cfg.Keys = slices.DeleteFunc(slices.Clone(cfg.Keys), func(key Key) bool {
		return !slices.ContainsFunc(cfg.Tables.Teams, func(tea Team) bool { return tea.Name == key.Team })
	})
	cfg.VMs = slices.DeleteFunc(slices.Clone(cfg.VMs), func(asg Assignment) bool {
		return !slices.ContainsFunc(cfg.Tables.Pools, func(poo Pool) bool { return poo.Name == asg.Pool })
	})
	return nil
}

func (cfg *Config) grantKey(key Key) error {
	if _, ok := cfg.ind.teams[key.Team]; !ok {
		return fmt.Errorf("no team is named %q", key.Team)
	}
	for _, old := range cfg.Keys {
		if old.Name == key.Name || old.Hash == key.Hash {
			return fmt.Errorf("a key named %q is there already", old.Name)
		}
	}
	cfg.Keys = append(slices.Clone(cfg.Keys), key)
	slices.SortFunc(cfg.Keys, func(a, b Key) int { return cmp.Compare(a.Hash, b.Hash) })
	return nil
}

func (cfg *Config) withdrawKey(name string) error {
	before := len(cfg.Keys)
	cfg.Keys = slices.DeleteFunc(slices.Clone(cfg.Keys), func(key Key) bool { return key.Name == name })
	if len(cfg.Keys) == before {
		return fmt.Errorf("no key is named %q", name)
	}
	return nil
}

func (cfg *Config) setAZ(chg AZSet) error {
	if cfg.ind.azsOut[chg.AZ] == chg.Out {
		return nil
	}
	out := slices.DeleteFunc(slices.Clone(cfg.Tables.AZsOut), func(az string) bool { return az == chg.AZ })
	if chg.Out {
		if !cfg.knowsAZ(chg.AZ) {
			return fmt.Errorf("no pool has VMs in availability zone %q", chg.AZ)
		}
		out = append(out, chg.AZ)
	}
	slices.Sort(out)
	cfg.Tables.AZsOut = out
	cfg.TablesRevision = cfg.Revision
	return nil
}

func (cfg *Config) knowsAZ(az string) bool {
	for _, poo := range cfg.Tables.Pools {
		if _, ok := poo.VMs[az]; ok {
			return true
		}
	}
	return false
}

func (cfg *Config) assignVMs(vms []Assignment) error {
	merged := make(map[string]string, len(cfg.VMs)+len(vms))
	for _, asg := range cfg.VMs {
		merged[asg.VM] = asg.Pool
	}
	for _, asg := range vms {
		if _, ok := cfg.ind.pools[asg.Pool]; !ok && asg.Pool != "" {
			return fmt.Errorf("no pool is named %q", asg.Pool)
		}
		merged[asg.VM] = asg.Pool
	}
	next := make([]Assignment, 0, len(merged))
	for vm, pool := range merged {
		if pool != "" {
			next = append(next, Assignment{VM: vm, Pool: pool})
		}
	}
	slices.SortFunc(next, func(a, b Assignment) int { return cmp.Compare(a.VM, b.VM) })
	cfg.VMs = next
	return nil
}

func (cfg *Config) joinVoter(vtr Voter) error {
	if _, ok := cfg.ind.voters[vtr.ID]; ok {
		return fmt.Errorf("member %q votes already", vtr.ID)
	}
	cfg.Voters = append(slices.Clone(cfg.Voters), vtr)
	slices.SortFunc(cfg.Voters, func(a, b Voter) int { return cmp.Compare(a.ID, b.ID) })
	if len(cfg.Voters) == 1 {
		cfg.Allotments = reallot(nil, cfg.Tables.Teams, cfg.VoterIDs())
	}
	return nil
}

func (cfg *Config) removeVoters(chg VotersRemoved) error {
	before := len(cfg.Voters)
	cfg.Voters = slices.DeleteFunc(slices.Clone(cfg.Voters), func(vtr Voter) bool {
		return slices.Contains(chg.IDs, vtr.ID)
	})
	if len(cfg.Voters) != before-len(chg.IDs) {
		return errors.New("a member to be removed does not vote")
	}
	for _, vtr := range cfg.Voters {
		settled := func(stl Settlement) bool { return stl.Member == vtr.ID }
		if !slices.ContainsFunc(chg.Settlements, settled) {
			return fmt.Errorf("member %q has not settled with the departed", vtr.ID)
		}
	}
	cfg.Allotments = settle(cfg, chg.Settlements)
	return nil
}

// LongestRequestDeadline returns the longest that any request may wait and run.
func (tbs Tables) LongestRequestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, rou := range tbs.Routes {
		if rou.Kind == KindRequest {
			longest = max(longest, time.Duration(rou.Deadline))
		}
	}
	return longest
}
