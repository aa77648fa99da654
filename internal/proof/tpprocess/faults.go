package tpprocess

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
)

// SetFaults replaces the faults that a stand-in injects. It sends faults as
// JSON.
func (p *Process) SetFaults(t testing.TB, faults any) {
	t.Helper()
	p.PutJSON(t, "/faults", faults)
}

// PutJSON sends v as JSON to a path of a stand-in, with method PUT. It fails
// the test unless the answer has status 200.
func (p *Process) PutJSON(t testing.TB, path string, v any) {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+p.Addresses[0]+path, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("PUT %s to %s: got %s", path, p.Name, resp.Status)
	}
}
