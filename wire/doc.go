// Package wire implements remote procedure calls between the processes of a
// deployment. Calls are protobuf messages on yamux streams, one stream per call.
// When a connection is opened, both ends prove that they hold the deployment's
// shared key.
package wire
