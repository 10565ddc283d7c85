/*
 * Model of a change of leader of a cell on the users' platform: one task, three workers, and two leaders, one after the
 * other. The first leader keeps sending requests until it stops or a worker rejects one. It starts tasks and extends leases only
 * while the store or two of the three workers have confirmed a short time ago that it leads. The second leader waits for a
 * worker that it cannot reach until the first one has stopped, or, once two workers have answered it, until such a confirmation
 * would have run out. The task is stored at any time; the second leader does not wait with a task that was stored when the first one
 * had stopped already. Start requests may be delayed. Sync calls get their response at once, unless the leader cannot reach the
 * worker.
 *
 * Checked properties: the task never runs in two places, and it does not start after its end was acknowledged.
 *
 * Variants that must fail: NO_WAIT (the second leader does not wait for workers that it cannot reach), NO_FENCE (workers
 * accept start requests with any token), ACK_FIRST (an end is acknowledged before it is recorded), NO_STOP (a leader that
 * has lost its lease goes on without a confirmation), MINORITY (the answer of one worker confirms that a leader leads), NEW_TASK (the
 * second leader does not wait with a task that was stored during its term).
 */
// broken: NO_WAIT NO_FENCE ACK_FIRST NO_STOP MINORITY NEW_TASK
#define WORKERS 3
#ifdef MINORITY
#define QUORUM 1
#else
#define QUORUM 2
#endif

byte token[WORKERS]; /* highest fencing token that the worker has seen */
bool running[WORKERS];
bool ended[WORKERS];        /* the worker reports the end of the task */
bool leaseExpired[WORKERS]; /* every run lease that the worker has received has expired */
byte pendingStart[WORKERS]; /* token of a start request in flight; 0 is none */
bool recorded;              /* the end is recorded in the store */
bool acknowledged;
byte currentLeader = 1; /* leader according to the store */
bool firstStopped;      /* the first leader sends no further requests */
bool confirmed = true;  /* the first leader may let tasks run */
bool fenced;            /* two workers have answered the second leader */
bool stored;            /* the task is stored */
bool mayWaitForNone;    /* it was stored when the second leader need not wait with it */

inline check() {
	assert(running[0] + running[1] + running[2] <= 1);
	assert(!(acknowledged && (running[0] || running[1] || running[2])));
}

#define ALL(a) (a[0] && a[1] && a[2])
#define NONE(a) (!a[0] && !a[1] && !a[2])
#define SILENT (firstStopped || (fenced && !confirmed))

#ifdef NO_STOP
#define MAY_LET_RUN true
#else
#define MAY_LET_RUN (self == 2 || confirmed)
#endif

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

/* A client submits the task. */
proctype Submission() {
	atomic {
		stored = true;
#ifdef NEW_TASK
		mayWaitForNone = currentLeader == 2
#else
		mayWaitForNone = currentLeader == 2 && SILENT
#endif
	}
}

proctype Leader(byte self) {
	bool synced[WORKERS];
	bool placed[WORKERS]; /* a run was requested there or reported by the worker */
	bool endKnown;
	byte w;
	atomic { self == 1 || (self == 2 && currentLeader == 1); currentLeader = self; endKnown = recorded }
	if
	:: self == 1 -> synced[0] = true; synced[1] = true; synced[2] = true  /* there was no earlier leader */
	:: else -> skip
	fi;
	do
	:: atomic { self == 1 && firstStopped -> break }
	:: atomic { self == 1 && currentLeader == 2 -> firstStopped = true; break }
	:: atomic { w = (w + 1) % WORKERS }
	:: atomic { self == 1 && confirmed -> confirmed = false }  /* the confirmation is too old */
	:: atomic { self == 1 && !confirmed &&
		(currentLeader == 1 || (token[0] <= 1) + (token[1] <= 1) + (token[2] <= 1) >= QUORUM) -> confirmed = true }
	:: atomic { token[w] > self -> break }  /* a sync or start request is rejected */
	:: atomic { token[w] <= self && MAY_LET_RUN ->  /* a sync call */
		token[w] = self; leaseExpired[w] = false; synced[w] = true;
		fenced = fenced || (self == 2 && synced[0] + synced[1] + synced[2] >= 2);
		endKnown = endKnown || ended[w];
		placed[w] = running[w] || pendingStart[w] == self }
#ifdef NO_WAIT
	:: atomic { self == 2 && !synced[w] -> synced[w] = true }
#else
	:: atomic { self == 2 && !synced[w] && leaseExpired[w] && SILENT -> synced[w] = true }
#endif
	:: atomic { stored && (ALL(synced) || (self == 2 && synced[w] && mayWaitForNone)) && NONE(placed) && !endKnown && !recorded &&
		MAY_LET_RUN && pendingStart[w] == 0 && currentLeader == self ->
		pendingStart[w] = self; placed[w] = true }
	:: atomic { stored && ALL(synced) && NONE(placed) && !endKnown && MAY_LET_RUN &&
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
	atomic { run Worker(0); run Worker(1); run Worker(2); run Submission(); run Leader(1); run Leader(2) }
}
