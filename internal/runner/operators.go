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

// maxOperatorBodyBytes is the largest accepted body of an admin request.
const maxOperatorBodyBytes = 1 << 20

// ApplyRequest replaces the tables of routes and pools.
type ApplyRequest struct {
	Tables table.Tables `json:"tables"`
	// Base is the revision that the tables were edited from. The request is
	// refused if a later one is in force. Zero matches any revision.
	Base int64 `json:"base"`
}

// GrantRequest creates an API key for a team.
type GrantRequest struct {
	Name string `json:"name"`
	Team string `json:"team"`
}

// ChangeResponse is the body of a response to a change of the configuration.
type ChangeResponse struct {
	Accepted bool         `json:"accepted"`
	Revision int64        `json:"revision"`
	Code     outcome.Code `json:"code,omitempty"`
	Message  string       `json:"message,omitempty"`
	// Key is the secret of a new API key. It is returned only here: the store
	// holds its hash.
	Key string `json:"key,omitempty"`
}

// ConfigResponse is the configuration in force at an entry, without the hashes
// of keys.
type ConfigResponse struct {
	Revision       int64              `json:"revision"`
	TablesRevision int64              `json:"tables_revision"`
	Tables         table.Tables       `json:"tables"`
	Keys           []KeyResponse      `json:"keys"`
	VMs            []table.Assignment `json:"vms"`
	Voters         []table.Voter      `json:"voters"`
}

// KeyResponse is the name and team of a granted key.
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
	mux.HandleFunc("POST /v1/members/{member}/gone", rnr.serveMemberGone)
	mux.HandleFunc("GET /v1/timeline", rnr.serveTimeline)
	mux.HandleFunc("GET /v1/metrics", rnr.serveMetrics)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return rnr.authenticate(mux)
}

// authenticate rejects requests without the operators' credential.
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
	if rep, ok := rnr.awaitReply(req, exc).(exchange.EntryStatus); ok {
		writeJSON(wrt, http.StatusOK, rep.Status)
	}
}

// awaitReply returns the reply of an exchange, or nil if the operator
// disconnects or the entry exits first.
func (rnr *Runner) awaitReply(req *http.Request, exc *exchange.Exchange) exchange.Reply {
	select {
	case rep := <-exc.Reply():
		return rep
	case <-req.Context().Done():
	case <-rnr.callsCtx.Done():
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
	rnr.requestChange(wrt, req, table.TablesReplaced{Tables: apl.Tables}, apl.Base, "")
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
	rnr.requestChange(wrt, req, table.KeyGranted{Key: granted}, 0, secret)
}

func (rnr *Runner) serveWithdraw(wrt http.ResponseWriter, req *http.Request) {
	rnr.requestChange(wrt, req, table.KeyWithdrawn{Name: req.PathValue("name")}, 0, "")
}

func (rnr *Runner) serveAZ(wrt http.ResponseWriter, req *http.Request) {
	direction := req.PathValue("direction")
	if direction != "out" && direction != "in" {
		writeInvalid(wrt, "An availability zone goes out or in.")
		return
	}
	rnr.requestChange(wrt, req, table.AZSet{AZ: req.PathValue("az"), Out: direction == "out"}, 0, "")
}

// requestChange submits a change of the configuration and writes its result.
// The secret of a new key is returned only if the change was accepted.
func (rnr *Runner) requestChange(wrt http.ResponseWriter, req *http.Request, chg table.Change, base int64, secret string) {
	exc := rnr.exchanges.Open(exchange.Request{})
	rnr.Post(event.ChangeRequested{Request: exc.ID, Change: chg, Base: base})
	rep, ok := rnr.awaitReply(req, exc).(exchange.ChangeResult)
	if !ok {
		return
	}
	res := rep.Result
	rsp := ChangeResponse{Accepted: res.Accepted, Revision: res.Revision, Code: res.Code, Message: res.Message}
	status := http.StatusOK
	if res.Accepted {
		rsp.Key = secret
	} else {
		status = res.Code.HTTPStatus()
	}
	writeJSON(wrt, status, rsp)
}

// serveMemberGone accepts an operator's confirmation that a member, that is, an
// entry, has terminated, so that it can be removed from the voters.
func (rnr *Runner) serveMemberGone(wrt http.ResponseWriter, req *http.Request) {
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
	dec := json.NewDecoder(http.MaxBytesReader(wrt, req.Body, maxOperatorBodyBytes))
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
