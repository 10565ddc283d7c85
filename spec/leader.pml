/*
 * Model of a change of leader of a cell on the users' platform: one task, two workers, and two leaders, one after the
 * other. The first leader keeps sending requests until it stops or a worker rejects one. Start requests may be delayed.
 * Sync calls get their response at once, unless the leader cannot reach the worker.
 *
 * Checked properties: the task never runs in two places, and it does not start after its end was acknowledged.
 *
 * Variants that must fail: NO_WAIT (the second leader does not wait for workers that it cannot reach), NO_FENCE (workers
 * accept start requests with any token), ACK_FIRST (an end is acknowledged before it is recorded), NO_STOP (a leader that
 * has lost its lease never stops).
 */
// broken: NO_WAIT NO_FENCE ACK_FIRST NO_STOP
#define WORKERS 2

byte token[WORKERS]; /* highest fencing token that the worker has seen */
bool running[WORKERS];
bool ended[WORKERS];        /* the worker reports the end of the task */
bool leaseExpired[WORKERS]; /* every run lease that the worker has received has expired */
byte pendingStart[WORKERS]; /* token of a start request in flight; 0 is none */
bool recorded;              /* the end is recorded in the store */
bool acknowledged;
byte currentLeader = 1; /* leader according to the store */
bool firstStopped;      /* the first leader sends no further requests */

inline check() {
	assert(!(running[0] && running[1]));
	assert(!(acknowledged && (running[0] || running[1])));
}

/* A worker handles a start request in flight, ends its run, or kills it when the lease expires. */
proctype Worker(byte w) {
	do
	:: atomic { pendingStart[w] != 0 ->
		if
#ifdef NO_FENCE
		:: !leaseExpired[w] && !running[w] && !ended[w] -> running[w] = true
		:: leaseExpired[w] || running[w] || ended[w] -> skip
#else
		:: pendingStart[w] >= token[w] && !leaseExpired[w] && !running[w] && !ended[w] ->
			running[w] = true; token[w] = pendingStart[w]
		:: !(pendingStart[w] >= token[w] && !leaseExpired[w] && !running[w] && !ended[w]) -> skip
#endif
		fi;
		pendingStart[w] = 0; check() }
	:: atomic { running[w] -> running[w] = false; ended[w] = true }
	/* An end that was not acknowledged before the lease expired is dropped: the task may run again. */
	:: atomic { !leaseExpired[w] -> leaseExpired[w] = true; running[w] = false; ended[w] = false }
	od
}

proctype Leader(byte self) {
	bool synced[WORKERS];
	bool placed[WORKERS]; /* a run was requested there or reported by the worker */
	bool endKnown;
	byte w;
	atomic { self == 1 || (self == 2 && currentLeader == 1); currentLeader = self; endKnown = recorded }
	if
	:: self == 1 -> synced[0] = true; synced[1] = true  /* there was no earlier leader */
	:: else -> skip
	fi;
	do
	:: atomic { self == 1 && firstStopped -> break }
	:: atomic { self == 1 && currentLeader == 2 -> firstStopped = true; break }
	:: atomic { w == 1 -> w = 0 }
	:: atomic { w == 0 -> w = 1 }
	:: atomic { token[w] > self -> break }  /* a sync or start request is rejected */
	:: atomic { token[w] <= self ->  /* a sync call */
		token[w] = self; leaseExpired[w] = false; synced[w] = true;
		endKnown = endKnown || ended[w];
		placed[w] = running[w] || pendingStart[w] == self }
#ifdef NO_WAIT
	:: atomic { self == 2 && !synced[w] -> synced[w] = true }
#else
#ifdef NO_STOP
	:: atomic { self == 2 && !synced[w] && leaseExpired[w] -> synced[w] = true }
#else
	:: atomic { self == 2 && !synced[w] && leaseExpired[w] && firstStopped -> synced[w] = true }
#endif
#endif
	:: atomic { synced[0] && synced[1] && !placed[0] && !placed[1] && !endKnown && !recorded &&
		pendingStart[w] == 0 && currentLeader == self ->
		pendingStart[w] = self; placed[w] = true }
	:: atomic { synced[0] && synced[1] && !placed[0] && !placed[1] && !endKnown &&
		pendingStart[w] == 0 && currentLeader != self && self == 1 ->
		pendingStart[w] = self; placed[w] = true } /* it does not know yet that it has been replaced */
#ifdef ACK_FIRST
	:: atomic { ended[w] && token[w] == self && synced[w] -> ended[w] = false; acknowledged = true }
#endif
	:: atomic { endKnown && !recorded && currentLeader == self -> recorded = true }
	:: atomic { ended[w] && recorded && currentLeader == self && token[w] == self -> ended[w] = false; acknowledged = true }
	od
}

init {
	atomic { run Worker(0); run Worker(1); run Leader(1); run Leader(2) }
}
