// Package tpplatformfake is a stand-in for the platform: the object API with
// conditional updates and watches, the lagging list of VMs, a rate limit that
// counts each call and each waiting watch, and faults on command.
package tpplatformfake
