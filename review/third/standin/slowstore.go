package main

import (
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"time"
)

// answerTime is how long the platform's store takes for an answer.
const answerTime = 4 * time.Millisecond

// newStoreFront stands before the stand-in of the store, which answers at once, and returns its
// address.
func newStoreFront(target string) (address string, err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	prx := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
	prx.Transport = &http.Transport{MaxIdleConnsPerHost: 200}
	// Calls that their sender gives up are no fault.
	prx.ErrorLog = log.New(io.Discard, "", 0)
	prx.ModifyResponse = func(*http.Response) error { time.Sleep(answerTime); return nil }
	srv := &http.Server{Handler: prx, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(lis) }()
	return lis.Addr().String(), nil
}
