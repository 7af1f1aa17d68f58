package table

// Service says what the VMs of a pool run.
type Service string

// The services.
const (
	// ServiceExecutor answers requests over HTTP.
	ServiceExecutor Service = "executor"
	// ServiceWorker runs tasks under leases.
	ServiceWorker Service = "worker"
)

// Pool says which VMs serve a kind of work.
type Pool struct {
	// Name is unique among the pools.
	Name    string  `toml:"name" json:"name"`
	Service Service `toml:"service" json:"service"`
	// Budget is how many VMs of the pool may be out of service at once; at
	// least 1.
	Budget int `toml:"budget" json:"budget"`
	// Spare names the pool that VMs come from and go back to. It is empty for
	// a spare pool itself.
	Spare string `toml:"spare,omitempty" json:"spare,omitempty"`
	// VMs is the wanted number of VMs by availability zone.
	VMs map[string]int `toml:"vms" json:"vms"`
	// UrgentReserve is how many slots in a hundred only urgent work may take;
	// 0 to 90.
	UrgentReserve int `toml:"urgent_reserve_percent,omitempty" json:"urgent_reserve_percent,omitempty"`
	// MaxWaiting bounds how much work may wait for the pool at one entry; at
	// least 1.
	MaxWaiting int `toml:"max_waiting" json:"max_waiting"`
}
