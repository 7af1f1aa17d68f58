package manager

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/standin/site"
	"gotest.tools/v3/assert"
)

// lockedBuffer holds what processes have logged.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (buf *lockedBuffer) Write(line []byte) (n int, err error) {
	buf.mu.Lock()
	defer buf.mu.Unlock()
	return buf.buf.Write(line)
}

// lines returns the logged lines that contain a text.
func (buf *lockedBuffer) lines(text string) (found []string) {
	buf.mu.Lock()
	defer buf.mu.Unlock()
	for line := range strings.Lines(buf.buf.String()) {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// oddEntry returns the entry of a VM with a part of it replaced.
func (clu *cluster) oddEntry(vm, part, odd string) []byte {
	clu.t.Helper()
	good := string(clu.sit.Store.Value("servers/" + vm))
	assert.Assert(clu.t, strings.Contains(good, part), good)
	return []byte(strings.Replace(good, part, odd, 1))
}

// port returns the port at which a VM is registered.
func (clu *cluster) port(vm string) string {
	_, port, _ := strings.Cut(string(clu.sit.Store.Value("servers/"+vm)), "127.0.0.1:")
	port, _, _ = strings.Cut(port, `"`)
	return port
}

// oddEntries returns entries of another writer by ID.
func (clu *cluster) oddEntries() map[string][]byte {
	return map[string][]byte{
		"deep":          []byte(strings.Repeat("[", 300_000)),
		"deep-closed":   []byte(strings.Repeat("[", 300_000) + strings.Repeat("]", 300_000)),
		"deep-field":    clu.oddEntry("vm-0", `"slots":8`, `"slots":8,"x":`+strings.Repeat(`{"a":`, 4000)+"1"+strings.Repeat("}", 4000)),
		"large-number":  clu.oddEntry("vm-0", "16000", "9000000000000000000"),
		"larger-number": clu.oddEntry("vm-0", "16000", "1e400"),
		"large-gpu":     clu.oddEntry("vm-0", `"gpu":0`, `"gpu":4000000000000000000`),
		"port":          clu.oddEntry("vm-0", clu.port("vm-0"), "8345678"),
		"port-0":        clu.oddEntry("vm-0", clu.port("vm-0"), "0"),
		"break":         clu.oddEntry("vm-0", "127.0.0.1", `127.0.0.1\r\n`),
		"bytes":         {0, 0xff, 0xfe, 0x81},
		"empty":         {},
		"":              clu.sit.Store.Value("servers/vm-0"),
		"a b\n":         clu.sit.Store.Value("servers/vm-0"),
	}
}

// awaitJobs submits jobs and waits until they are completed.
func (clu *cluster) awaitJobs(first, count int) {
	clu.t.Helper()
	for i := first; i < first+count; i++ {
		clu.await("acceptance", func() bool {
			return clu.status(http.MethodPost, clu.jobURL(0, "/gate/", i), "k1", jobBody) == http.StatusOK
		})
	}
	for i := first; i < first+count; i++ {
		clu.await(fmt.Sprintf("end of job %d", i), func() bool {
			_, text := clu.call(http.MethodGet, clu.jobURL(0, "/gate/", i), "k1", "")
			return text == `{"state":"completed"}`
		})
	}
}

// TestOddEntryAmongGoodOnes guards against processes that end, or stop following
// the VMs, by an entry of another writer. The entries are found by a watch, by
// the list of a new dispatcher, and by one after a lost history.
func TestOddEntryAmongGoodOnes(t *testing.T) {
	clu := newCluster(t, 2, 3, 60*time.Millisecond)
	clu.awaitJobs(0, 4)
	for range 5 {
		for id, raw := range clu.oddEntries() {
			clu.sit.Store.PutBytes("servers/"+id, raw)
		}
		time.Sleep(50 * time.Millisecond)
	}
	clu.awaitJobs(10, 10)
	clu.sit.Store.Compact()
	clu.awaitJobs(20, 10)
	clu.nodes[0].stop()
	assert.NilError(t, <-clu.nodes[0].done)
	clu.nodes[0] = clu.startNode("again")
	clu.awaitJobs(30, 10)
	clu.nodes[1].stop()
	assert.NilError(t, <-clu.nodes[1].done)
	clu.nodes[1] = clu.startNode("again-1")
	clu.awaitJobs(40, 10)
	for _, found := range clu.out.lines(`"event":"vm_found"`) {
		assert.Assert(t, strings.Contains(found, `"vm":"vm-`), found)
	}
	for id := range clu.oddEntries() {
		clu.sit.Store.Delete("servers/" + id)
	}
	clu.awaitJobs(50, 4)
	assert.Equal(t, clu.sit.DoneTasks(), (4+10+10+10+10+4)*4)
	assert.DeepEqual(t, clu.sit.Violations(), []string(nil))
}

// TestOddEntryOfVMWithRuns guards against runs that start a second time, and a VM
// that is never found again, after an entry of another writer replaced the VM's
// for a moment.
func TestOddEntryOfVMWithRuns(t *testing.T) {
	for name, odd := range map[string]func(clu *cluster) []byte{
		"port out of range": func(clu *cluster) []byte { return clu.oddEntry("vm-0", clu.port("vm-0"), "8345678") },
		"port 0":            func(clu *cluster) []byte { return clu.oddEntry("vm-0", clu.port("vm-0"), "0") },
		"born too large":    func(clu *cluster) []byte { return clu.oddEntry("vm-0", `"born":`, `"born":9000000`) },
		"not JSON":          func(*cluster) []byte { return []byte{0xff} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clu := newCluster(t, 1, 1, 2*time.Second)
			good := clu.sit.Store.Value("servers/vm-0")
			id := fmt.Sprintf("%016x", 1)
			body := site.JobBody("x", []site.Step{{Count: 2, CPU: 500, Estimate: 100 * time.Millisecond}})
			assert.Equal(t, clu.status(http.MethodPost, clu.jobURL(0, "/gate/", 1), "k1", body), http.StatusOK)
			clu.await("start", func() bool { return clu.sit.StartedRuns(id) == 2 })
			clu.sit.Store.PutBytes("servers/vm-0", odd(clu))
			time.Sleep(300 * time.Millisecond)
			clu.sit.Store.PutBytes("servers/vm-0", good)
			clu.await("end of the job", func() bool {
				_, text := clu.call(http.MethodGet, clu.jobURL(0, "/gate/", 1), "k1", "")
				return text == `{"state":"completed"}`
			})
			assert.Equal(t, clu.sit.StartedRuns(id), 2)
			assert.Equal(t, clu.status(http.MethodPost, clu.jobURL(0, "/gate/", 2), "k1", body), http.StatusOK)
			clu.await("end of another job", func() bool {
				_, text := clu.call(http.MethodGet, clu.jobURL(0, "/gate/", 2), "k1", "")
				return text == `{"state":"completed"}`
			})
			assert.DeepEqual(t, clu.sit.Violations(), []string(nil))
		})
	}
}

// TestOddEntryIsLoggedOncePerRevision guards against a log that fills with the
// same entry each time it is listed, or with long values.
func TestOddEntryIsLoggedOncePerRevision(t *testing.T) {
	clu := newCluster(t, 1, 1, 20*time.Millisecond)
	clu.awaitJobs(0, 1)
	clu.sit.Store.PutBytes("servers/odd", clu.oddEntry("vm-0", "ready", strings.Repeat("x", 50_000)))
	for i := range 4 {
		clu.sit.Store.PutBytes("other", []byte{byte(i)})
		clu.sit.Store.PutBytes("other", nil)
		clu.sit.Store.Compact()
		clu.sit.Store.PutBytes("other", []byte{byte(i)})
		clu.awaitJobs(i+1, 1)
		time.Sleep(400 * time.Millisecond)
	}
	clu.sit.Store.PutBytes("servers/odd", []byte("{"))
	clu.await("second line", func() bool { return len(clu.out.lines(`"event":"entry_ignored"`)) >= 2 })
	assert.Assert(t, len(clu.out.lines(`"prefix":"servers/"`)) > 0)
	lines := clu.out.lines(`"event":"entry_ignored"`)
	assert.Equal(t, len(lines), 2, strings.Join(lines, ""))
	for _, line := range lines {
		assert.Assert(t, len(line) < 1000, "line of %d bytes", len(line))
	}
}
