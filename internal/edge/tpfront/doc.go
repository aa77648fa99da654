// Package tpfront is the HTTP front end for callers. It decodes requests,
// which internal/request/stage1/tpintake then validates, and encodes answers as
// server-sent events or plain responses.
package tpfront
