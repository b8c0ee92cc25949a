package link

import "redwingknot/wire"

// Caller makes calls to another process.
type Caller = wire.Caller
