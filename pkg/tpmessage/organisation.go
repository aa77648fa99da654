package tpmessage

// KeyHash identifies an API key: the first 16 bytes of its SHA-256.
type KeyHash [16]byte

// Credential is what a request says about the organisation on whose behalf it
// is sent. The zero value is a request without a key.
type Credential struct {
	Keys int     // number of keys that the request carries
	Hash KeyHash // of the key, if there is exactly one
}

// RelayOrganisation is a holder of API keys.
type RelayOrganisation struct {
	Name string
	// Priority takes the place of the route's priority if HasPriority is true.
	Priority    int
	HasPriority bool
	Keys        []KeyHash
}

// OrganisationFault describes an entry of the configuration's organisations
// that is left out. It never contains a key.
type OrganisationFault struct {
	Organisation string // name of the organisation, or what can be read of it
	Position     int    // of the organisation in its list, from 0
	Field        string
	Reason       string
}
