//! Control process: replicated state, leases, configuration push.
