// Package wire carries calls between the system's own processes: protobuf
// messages on yamux streams, one stream a call, on connections that both ends
// open by proving that they hold the deployment's shared key.
package wire
