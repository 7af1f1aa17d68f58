package runner

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/key"
	"github.com/balsamgauge/balsamgauge/internal/exchange"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
	"github.com/balsamgauge/balsamgauge/pkg/table"
	"github.com/rcrowley/go-metrics"
)

// maxOperatorBody bounds an operator's request, in bytes.
const maxOperatorBody = 1 << 20

// ApplyRequest asks for new tables.
type ApplyRequest struct {
	Tables table.Tables `json:"tables"`
	// Base is the revision that the tables were made from; zero means any.
	Base int64 `json:"base"`
}

// GrantRequest asks for a new key.
type GrantRequest struct {
	Name string `json:"name"`
	Team string `json:"team"`
}

// ChangeResponse answers a change.
type ChangeResponse struct {
	Accepted bool         `json:"accepted"`
	Revision int64        `json:"revision"`
	Code     outcome.Code `json:"code,omitempty"`
	Message  string       `json:"message,omitempty"`
	// Key is shown once, to whom it was granted.
	Key string `json:"key,omitempty"`
}

// ConfigResponse is the configuration that an entry runs by, without hashes.
type ConfigResponse struct {
	Revision       int64              `json:"revision"`
	TablesRevision int64              `json:"tables_revision"`
	Tables         table.Tables       `json:"tables"`
	Keys           []KeyResponse      `json:"keys"`
	VMs            []table.Assignment `json:"vms"`
	Voters         []table.Voter      `json:"voters"`
}

// KeyResponse names a granted key.
type KeyResponse struct {
	Name string `json:"name"`
	Team string `json:"team"`
}

func (rnr *Runner) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", rnr.serveStatus)
	mux.HandleFunc("GET /v1/config", rnr.serveConfig)
	mux.HandleFunc("POST /v1/tables", rnr.serveApply)
	mux.HandleFunc("POST /v1/keys", rnr.serveGrant)
	mux.HandleFunc("DELETE /v1/keys/{name}", rnr.serveWithdraw)
	mux.HandleFunc("POST /v1/azs/{az}/{direction}", rnr.serveAZ)
	mux.HandleFunc("POST /v1/members/{member}/gone", rnr.serveGone)
	mux.HandleFunc("GET /v1/timeline", rnr.serveTimeline)
	mux.HandleFunc("GET /v1/metrics", rnr.serveMetrics)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return rnr.authenticate(mux)
}

// authenticate lets through only requests with the operators' credential.
func (rnr *Runner) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		secret, _ := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(secret))
		given := []byte(hex.EncodeToString(sum[:]))
		if subtle.ConstantTimeCompare(given, []byte(strings.ToLower(rnr.set.OperatorKeyHash))) != 1 {
			writeJSON(wrt, http.StatusUnauthorized, ChangeResponse{
				Code: outcome.CodeUnauthorized, Message: "The operators' credential is missing or wrong.",
			})
			return
		}
		next.ServeHTTP(wrt, req)
	})
}

func (rnr *Runner) serveStatus(wrt http.ResponseWriter, req *http.Request) {
	exc := rnr.exchanges.Open(exchange.Request{})
	rnr.Post(event.StatusRequested{Request: exc.ID})
	if rep, ok := rnr.wait(req, exc).(exchange.Reported); ok {
		writeJSON(wrt, http.StatusOK, rep.Status)
	}
}

func (rnr *Runner) wait(req *http.Request, exc *exchange.Exchange) exchange.Reply {
	select {
	case rep := <-exc.Reply():
		return rep
	case <-req.Context().Done():
	case <-rnr.calls.Done():
	}
	rnr.exchanges.Drop(exc.ID)
	return nil
}

func (rnr *Runner) serveConfig(wrt http.ResponseWriter, _ *http.Request) {
	cfg := rnr.config.Load()
	rsp := ConfigResponse{
		Revision: cfg.Revision, TablesRevision: cfg.TablesRevision,
		Tables: cfg.Tables, VMs: cfg.VMs, Voters: cfg.Voters,
	}
	for _, granted := range cfg.Keys {
		rsp.Keys = append(rsp.Keys, KeyResponse{Name: granted.Name, Team: granted.Team})
	}
	writeJSON(wrt, http.StatusOK, rsp)
}

func (rnr *Runner) serveApply(wrt http.ResponseWriter, req *http.Request) {
	var apl ApplyRequest
	if !readJSON(wrt, req, &apl) {
		return
	}
	rnr.change(wrt, req, table.TablesReplaced{Tables: apl.Tables}, apl.Base, "")
}

func (rnr *Runner) serveGrant(wrt http.ResponseWriter, req *http.Request) {
	var grt GrantRequest
	if !readJSON(wrt, req, &grt) {
		return
	}
	if grt.Name == "" {
		writeInvalid(wrt, "The key needs a name.")
		return
	}
	secret, err := key.New()
	if err != nil {
		writeInvalid(wrt, err.Error())
		return
	}
	granted := table.Key{Hash: key.Hash(secret), Name: grt.Name, Team: grt.Team}
	rnr.change(wrt, req, table.KeyGranted{Key: granted}, 0, secret)
}

func (rnr *Runner) serveWithdraw(wrt http.ResponseWriter, req *http.Request) {
	rnr.change(wrt, req, table.KeyWithdrawn{Name: req.PathValue("name")}, 0, "")
}

func (rnr *Runner) serveAZ(wrt http.ResponseWriter, req *http.Request) {
	direction := req.PathValue("direction")
	if direction != "out" && direction != "in" {
		writeInvalid(wrt, "An availability zone goes out or in.")
		return
	}
	rnr.change(wrt, req, table.AZSet{AZ: req.PathValue("az"), Out: direction == "out"}, 0, "")
}

// change asks for a change and writes what became of it. The secret of a new
// key is shown only when the change was accepted.
func (rnr *Runner) change(wrt http.ResponseWriter, req *http.Request, chg table.Change, base int64, secret string) {
	exc := rnr.exchanges.Open(exchange.Request{})
	rnr.Post(event.ChangeRequested{Request: exc.ID, Change: chg, Base: base})
	rep, ok := rnr.wait(req, exc).(exchange.Changed)
	if !ok {
		return
	}
	ans := rep.Answer
	rsp := ChangeResponse{Accepted: ans.Accepted, Revision: ans.Revision, Code: ans.Code, Message: ans.Message}
	status := http.StatusOK
	if ans.Accepted {
		rsp.Key = secret
	} else {
		status = ans.Code.HTTPStatus()
	}
	writeJSON(wrt, status, rsp)
}

// serveGone takes an operator's word that a member runs no more.
func (rnr *Runner) serveGone(wrt http.ResponseWriter, req *http.Request) {
	id := req.PathValue("member")
	if _, votes := rnr.config.Load().Voter(id); !votes || id == rnr.id {
		writeInvalid(wrt, "No other member that votes has the ID "+id+".")
		return
	}
	rnr.Post(event.MembersGone{IDs: []string{id}})
	writeJSON(wrt, http.StatusOK, ChangeResponse{Accepted: true, Revision: rnr.config.Load().Revision})
}

func (rnr *Runner) serveTimeline(wrt http.ResponseWriter, _ *http.Request) {
	writeJSON(wrt, http.StatusOK, rnr.ring.Events())
}

func (rnr *Runner) serveMetrics(wrt http.ResponseWriter, _ *http.Request) {
	wrt.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(rnr.registry, wrt)
}

func readJSON(wrt http.ResponseWriter, req *http.Request, into any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(wrt, req.Body, maxOperatorBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		writeInvalid(wrt, "The request can't be read: "+err.Error())
		return false
	}
	return true
}

func writeInvalid(wrt http.ResponseWriter, msg string) {
	writeJSON(wrt, http.StatusBadRequest, ChangeResponse{Code: outcome.CodeInvalid, Message: msg})
}
