package link

import "redwingknot/wire"

// Caller makes calls to another process, such as a link's home instance.
type Caller = wire.Caller
