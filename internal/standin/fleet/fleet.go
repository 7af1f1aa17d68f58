// Package fleet starts the stand-ins of a whole deployment: the store, the
// platform's list of VMs, and an executor or a worker for every VM that the
// table of pools wants.
package fleet

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/vm"
	"github.com/balsamgauge/balsamgauge/internal/standin/executor"
	"github.com/balsamgauge/balsamgauge/internal/standin/kvstore"
	"github.com/balsamgauge/balsamgauge/internal/standin/taskworker"
	"github.com/balsamgauge/balsamgauge/internal/standin/vmlist"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// Sizes of the stand-ins.
const (
	// slots is how much work each VM takes at once.
	slots = 8
	// vmsPerRack is how many VMs stand in a rack.
	vmsPerRack = 4
)

// Options say what to start and where.
type Options struct {
	// StoreAddress and ListAddress are host:port.
	StoreAddress string
	ListAddress  string
	// ListLag is how late the platform tells of a change.
	ListLag time.Duration
	Pools   []table.Pool
	// DoubleRuns lets the executors run everything twice.
	DoubleRuns bool
}

// Fleet is what runs.
type Fleet struct {
	Store     *kvstore.Store
	VMs       *vmlist.List
	Runs      *executor.Recorder
	TaskRuns  *taskworker.Recorder
	Executors map[string]*executor.Executor
	Workers   map[string]*taskworker.Worker
	// AZs maps each VM to its availability zone.
	AZs map[string]string
	// StoreURL and ListURL are where the entries reach them.
	StoreURL string
	ListURL  string

	doubleRuns bool
	servers    []*http.Server
}

// Start starts the stand-ins on loopback.
func Start(opt Options) (fle *Fleet, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start stand-ins: %w", err)
		}
	}()
	fle = &Fleet{
		Store: kvstore.New(), VMs: vmlist.New(opt.ListLag),
		Runs: executor.NewRecorder(), TaskRuns: &taskworker.Recorder{},
		Executors: map[string]*executor.Executor{}, Workers: map[string]*taskworker.Worker{},
		AZs: map[string]string{}, doubleRuns: opt.DoubleRuns,
	}
	if fle.StoreURL, err = fle.serve(opt.StoreAddress, fle.Store.Handler()); err != nil {
		return nil, err
	}
	if fle.ListURL, err = fle.serve(opt.ListAddress, fle.VMs.Handler()); err != nil {
		return nil, err
	}
	for _, poo := range opt.Pools {
		if err := fle.startPool(poo); err != nil {
			return nil, err
		}
	}
	return fle, nil
}

func (fle *Fleet) serve(address string, handler http.Handler) (url string, err error) {
	lsn, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: handler}
	fle.servers = append(fle.servers, srv)
	go func() { _ = srv.Serve(lsn) }()
	return "http://" + lsn.Addr().String(), nil
}

func (fle *Fleet) startPool(poo table.Pool) error {
	var azs []string
	for az := range poo.VMs {
		azs = append(azs, az)
	}
	slices.Sort(azs)
	for _, az := range azs {
		for i := range poo.VMs[az] {
			id := fmt.Sprintf("%s-%s-%d", poo.Name, az, i+1)
			if err := fle.StartVM(id, az, poo.Service); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartVM starts one VM and lists it.
func (fle *Fleet) StartVM(id, az string, svc table.Service) (err error) {
	address := ""
	if svc == table.ServiceExecutor {
		exe, err := executor.Start(id, slots, fle.Runs)
		if err != nil {
			return err
		}
		exe.SetDoubleRuns(fle.doubleRuns)
		fle.Executors[id] = exe
		address = exe.Address()
	} else {
		wkr, err := taskworker.Start(id, fle.TaskRuns)
		if err != nil {
			return err
		}
		fle.Workers[id] = wkr
		address = wkr.Address()
	}
	rack := fmt.Sprintf("%s-rack-%d", az, len(fle.AZs)/vmsPerRack)
	fle.AZs[id] = az
	fle.VMs.Put(vm.VM{ID: id, AZ: az, Rack: rack, Address: address, Service: svc, Slots: slots})
	return nil
}

// Stop ends all stand-ins.
func (fle *Fleet) Stop() {
	for _, srv := range fle.servers {
		_ = srv.Close()
	}
	for _, exe := range fle.Executors {
		exe.Kill()
	}
	for _, wkr := range fle.Workers {
		wkr.Kill()
	}
}
