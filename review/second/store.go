package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

// rowBytes is the largest value of a row that the platform's store takes.
const rowBytes = 65536

// storeFront passes calls on to the store. It answers a transaction with a value that is larger
// than rowBytes with status 400, and does nothing of it.
type storeFront struct {
	bed     *bed
	address string
	server  *http.Server
	client  *http.Client
}

func newStoreFront(b *bed) (*storeFront, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &storeFront{bed: b, address: l.Addr().String(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = f.server.Serve(l) }()
	return f, nil
}

func (f *storeFront) close() { _ = f.server.Close() }

// ServeHTTP passes one call on.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if key, size := largestValue(body); size > rowBytes {
		f.bed.notef("the store refuses the row %s with %d bytes", key, size)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+f.bed.store.Address()+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	answer, err := f.client.Do(call)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = answer.Body.Close() }()
	w.Header().Set("Content-Type", answer.Header.Get("Content-Type"))
	w.Header().Set("Store-Era", answer.Header.Get("Store-Era"))
	w.WriteHeader(answer.StatusCode)
	if _, err := io.Copy(w, answer.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// largestValue returns the key and the size of the largest value that a transaction writes.
func largestValue(body []byte) (key string, size int) {
	var transaction struct {
		Puts []struct {
			Key   string
			Value []byte
		}
	}
	if json.Unmarshal(body, &transaction) != nil {
		return "", 0
	}
	for _, put := range transaction.Puts {
		if len(put.Value) > size {
			key, size = put.Key, len(put.Value)
		}
	}
	return key, size
}
