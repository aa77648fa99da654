package tpprocess

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
)

// SetFaults replaces the faults on command of a stand-in.
func (p *Process) SetFaults(t testing.TB, faults any) {
	t.Helper()
	data, err := json.Marshal(faults)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+p.Addresses[0]+"/faults", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("faults of %s: got %s", p.Name, resp.Status)
	}
}
