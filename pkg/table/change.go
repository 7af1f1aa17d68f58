package table

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// A Change transforms a configuration into the next one. The closed set is
// TablesReplaced, KeyGranted, KeyWithdrawn, AZSet, VMsAssigned, VoterJoined and
// VotersRemoved.
type Change interface {
	isChange()
}

// TablesReplaced replaces both tables.
type TablesReplaced struct {
	Tables Tables `json:"tables"`
}

// KeyGranted adds an API key.
type KeyGranted struct {
	Key Key `json:"key"`
}

// KeyWithdrawn revokes the API key with the given name.
type KeyWithdrawn struct {
	Name string `json:"name"`
}

// AZSet takes an availability zone out of service or puts it back.
type AZSet struct {
	AZ  string `json:"az"`
	Out bool   `json:"out"`
}

// VMsAssigned assigns VMs to pools. An empty pool removes the VM's assignment.
type VMsAssigned struct {
	VMs []Assignment `json:"vms"`
}

// VoterJoined adds a voter.
type VoterJoined struct {
	Voter Voter `json:"voter"`
}

// VotersRemoved removes voters that are guaranteed to have terminated. The
// transfers between them and the remaining members are merged into the
// allotments of the latter, each of which must have settled.
type VotersRemoved struct {
	IDs         []string     `json:"ids"`
	Settlements []Settlement `json:"settlements"`
}

// Settlement is a remaining member's account of its transfers with members that
// are about to be removed. It is final: the member has ended those transfers.
type Settlement struct {
	Member string `json:"member"`
	// Net is the number of permits received from the members to be removed less
	// those sent to them, by team.
	Net []TeamPermits `json:"net,omitempty"`
	// Debts lists, by team, how many pieces of work the member runs beyond its
	// permits, because it adopted running tasks.
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

// An Edit is the wire form of a Change: the resulting revision, its nonce, and
// exactly one of the changes.
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

// NewEdit returns the wire form of a change.
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

// Change returns the change of the edit, or an error if there is none.
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
		return nil, errors.New("edit contains no change")
	}
}

// Apply returns the configuration after a change, with the revision incremented
// by one. It returns an error if the change is invalid, such as a key for an
// unknown team.
func (cfg *Config) Apply(change Change, nonce string) (next *Config, err error) {
	cop := *cfg
	cop.Revision++
	cop.Nonces = append(slices.Clone(cfg.Nonces), nonce)
	cop.Nonces = cop.Nonces[max(0, len(cop.Nonces)-maxNonces):]
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
	cfg.Allotments = reallocate(cfg.Allotments, cfg.Tables.Teams, cfg.VoterIDs())
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
		if !cfg.hasAZ(chg.AZ) {
			return fmt.Errorf("no pool has VMs in availability zone %q", chg.AZ)
		}
		out = append(out, chg.AZ)
	}
	slices.Sort(out)
	cfg.Tables.AZsOut = out
	cfg.TablesRevision = cfg.Revision
	return nil
}

func (cfg *Config) hasAZ(az string) bool {
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
		return fmt.Errorf("member %q is already a voter", vtr.ID)
	}
	cfg.Voters = append(slices.Clone(cfg.Voters), vtr)
	slices.SortFunc(cfg.Voters, func(a, b Voter) int { return cmp.Compare(a.ID, b.ID) })
	if len(cfg.Voters) == 1 {
		cfg.Allotments = reallocate(nil, cfg.Tables.Teams, cfg.VoterIDs())
	}
	return nil
}

func (cfg *Config) removeVoters(chg VotersRemoved) error {
	before := len(cfg.Voters)
	cfg.Voters = slices.DeleteFunc(slices.Clone(cfg.Voters), func(vtr Voter) bool {
		return slices.Contains(chg.IDs, vtr.ID)
	})
	if len(cfg.Voters) != before-len(chg.IDs) {
		return errors.New("a member to be removed is not a voter")
	}
	for _, vtr := range cfg.Voters {
		settled := func(stl Settlement) bool { return stl.Member == vtr.ID }
		if !slices.ContainsFunc(chg.Settlements, settled) {
			return fmt.Errorf("member %q has not settled its transfers with the removed voters", vtr.ID)
		}
	}
	cfg.Allotments = applySettlements(cfg, chg.Settlements)
	return nil
}

// LongestRequestDeadline returns the longest deadline of any route for
// requests.
func (tbs Tables) LongestRequestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, rou := range tbs.Routes {
		if rou.Kind == KindRequest {
			longest = max(longest, time.Duration(rou.Deadline))
		}
	}
	return longest
}
