// Package tpfront is the HTTP front end for callers. It decodes requests into
// proposals and encodes answers as server-sent events or plain responses.
package tpfront
