package effect

// Status is an entry's account of itself.
type Status struct {
	ID       string         `json:"id"`
	AZ       string         `json:"az"`
	Revision int64          `json:"revision"`
	Fresh    bool           `json:"fresh"`
	Voting   bool           `json:"voting"`
	Leaving  bool           `json:"leaving"`
	AZsOut   []string       `json:"azs_out"`
	Members  []MemberStatus `json:"members"`
	Pools    []PoolStatus   `json:"pools"`
	Teams    []TeamStatus   `json:"teams"`
	// PendingRecords counts the task records that the store does not have yet.
	PendingRecords int `json:"pending_records"`
	Tasks          int `json:"tasks"`
}

// MemberStatus is what the entry knows of a peer.
type MemberStatus struct {
	ID       string `json:"id"`
	AZ       string `json:"az"`
	Live     bool   `json:"live"`
	Voting   bool   `json:"voting"`
	Revision int64  `json:"revision"`
}

// PoolStatus is the entry's view of a pool.
type PoolStatus struct {
	Pool       string `json:"pool"`
	Dispatcher string `json:"dispatcher"`
	VMs        int    `json:"vms"`
	UsableVMs  int    `json:"usable_vms"`
	Slots      int    `json:"slots"`
	// Waiting and Running count the entry's own work.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
}

// TeamStatus is the entry's view of a team.
type TeamStatus struct {
	Team  string `json:"team"`
	Limit int    `json:"limit"`
	// Permits and Running are the entry's own.
	Permits int `json:"permits"`
	Running int `json:"running"`
	// InDebt says that a lowered limit is not in force at this entry yet.
	InDebt bool `json:"in_debt"`
}
