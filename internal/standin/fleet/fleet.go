// Package fleet starts the stand-ins of a whole deployment: the store, the
// platform's list of VMs, and an executor or a worker for every VM in the table of
// pools.
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
	// slotsPerVM is the number of requests or tasks that a VM runs concurrently.
	slotsPerVM = 8
	// vmsPerRack is the number of VMs in a rack.
	vmsPerRack = 4
)

// Options configure a Fleet.
type Options struct {
	// StoreAddress and ListAddress are the listen addresses of the store and the
	// list of VMs, as host:port.
	StoreAddress string
	ListAddress  string
	// ListLag is the delay of changes in the list of VMs.
	ListLag time.Duration
	Pools   []table.Pool
	// DoubleRuns makes the executors run every request twice.
	DoubleRuns bool
}

// Fleet holds the stand-ins of a deployment.
type Fleet struct {
	Store     *kvstore.Store
	VMs       *vmlist.List
	Runs      *executor.Recorder
	TaskRuns  *taskworker.Recorder
	Executors map[string]*executor.Executor
	Workers   map[string]*taskworker.Worker
	// AZs maps each VM to its availability zone.
	AZs map[string]string
	// StoreURL and ListURL are the base URLs of the store and the list of VMs.
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

// serve serves a handler on an address and returns its base URL.
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

// startPool starts the VMs of a pool in all its availability zones.
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

// StartVM starts a VM with an executor or a worker and adds it to the list of VMs.
func (fle *Fleet) StartVM(id, az string, svc table.Service) (err error) {
	address := ""
	if svc == table.ServiceExecutor {
		exe, err := executor.Start(id, slotsPerVM, fle.Runs)
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
	fle.VMs.Put(vm.VM{ID: id, AZ: az, Rack: rack, Address: address, Service: svc, Slots: slotsPerVM})
	return nil
}

// Stop stops all stand-ins without waiting for requests or tasks.
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
