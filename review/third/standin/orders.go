package main

import (
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

// ordersFront stands before an executor and counts the starts and stops that arrive there.
type ordersFront struct {
	address string
	orders  atomic.Int64
}

func newOrdersFront(target string) (fro *ordersFront, err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	fro = &ordersFront{address: lis.Addr().String()}
	prx := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
	prx.Transport = &http.Transport{MaxIdleConnsPerHost: 64}
	prx.ErrorLog = log.New(io.Discard, "", 0)
	// A call that the executor leaves unanswered stays so.
	prx.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	handler := http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, "/run-") {
			fro.orders.Add(1)
		}
		prx.ServeHTTP(wri, req)
	})
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second, ErrorLog: prx.ErrorLog}
	go func() { _ = srv.Serve(lis) }()
	return fro, nil
}
