package table

// Service is the kind of process that the VMs of a pool run.
type Service string

// The services.
const (
	// ServiceExecutor answers requests over HTTP.
	ServiceExecutor Service = "executor"
	// ServiceWorker runs tasks under leases.
	ServiceWorker Service = "worker"
)

// Pool is a group of VMs that run the same service.
type Pool struct {
	// Name is unique among the pools.
	Name    string  `toml:"name" json:"name"`
	Service Service `toml:"service" json:"service"`
	// Budget is the number of VMs of the pool that may be out of service at the
	// same time; at least 1.
	Budget int `toml:"budget" json:"budget"`
	// Spare names the pool that supplies VMs to this pool and takes them back.
	// It is empty for a spare pool itself.
	Spare string `toml:"spare,omitempty" json:"spare,omitempty"`
	// VMs is the target number of VMs by availability zone.
	VMs map[string]int `toml:"vms" json:"vms"`
	// UrgentReserve is the percentage of slots that only urgent work may use; 0
	// to 90.
	UrgentReserve int `toml:"urgent_reserve_percent,omitempty" json:"urgent_reserve_percent,omitempty"`
	// MaxWaiting bounds the work that may wait for the pool at one entry; at
	// least 1.
	MaxWaiting int `toml:"max_waiting" json:"max_waiting"`
}
