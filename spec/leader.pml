/*
 * A change of leader on the users' platform: one task, two workers, two leaders one after the other. The first goes on
 * giving orders until it stops or a worker refuses it. Orders to start arrive late. Looks are answered at once, unless the
 * worker is out of the leader's reach.
 *
 * Checked: the task never runs in two places, and does not start after its end was acknowledged.
 *
 * Variants that must fail: NO_WAIT (the second leader does not wait for workers that it cannot reach), NO_FENCE (workers
 * take orders of any token), ACK_FIRST (an end is acknowledged before it is recorded), NO_STOP (a leader without its lease
 * goes on for ever).
 */
// broken: NO_WAIT NO_FENCE ACK_FIRST NO_STOP
#define WORKERS 2

byte token[WORKERS];    /* highest that the worker has seen */
bool running[WORKERS];
bool ended[WORKERS];    /* the worker lists an end that is done */
bool lapsed[WORKERS];   /* every hold that reached the worker has run out */
byte order[WORKERS];    /* token of a start on its way; 0: none */
bool recorded;          /* the end is in the store */
bool acknowledged;
byte leads = 1;         /* by the store */
bool stopped;           /* the first leader gives no further orders */

inline check() {
	assert(!(running[0] && running[1]));
	assert(!(acknowledged && (running[0] || running[1])));
}

/* A worker carries out a start that is on its way, ends its run, or kills it when the hold runs out. */
proctype Worker(byte w) {
	do
	:: atomic { order[w] != 0 ->
		if
#ifdef NO_FENCE
		:: !lapsed[w] && !running[w] && !ended[w] -> running[w] = true
		:: lapsed[w] || running[w] || ended[w] -> skip
#else
		:: order[w] >= token[w] && !lapsed[w] && !running[w] && !ended[w] -> running[w] = true; token[w] = order[w]
		:: !(order[w] >= token[w] && !lapsed[w] && !running[w] && !ended[w]) -> skip
#endif
		fi;
		order[w] = 0; check() }
	:: atomic { running[w] -> running[w] = false; ended[w] = true }
	/* An end that was not acknowledged before the hold ran out does not count: the task may run again. */
	:: atomic { !lapsed[w] -> lapsed[w] = true; running[w] = false; ended[w] = false }
	od
}

proctype Leader(byte me) {
	bool seen[WORKERS];
	bool placed[WORKERS];  /* a run is ordered there, or listed */
	bool done;
	byte w;
	atomic { me == 1 || (me == 2 && leads == 1); leads = me; done = recorded }
	if
	:: me == 1 -> seen[0] = true; seen[1] = true  /* there was no leader before */
	:: else -> skip
	fi;
	do
	:: atomic { me == 1 && stopped -> break }
	:: atomic { me == 1 && leads == 2 -> stopped = true; break }
	:: atomic { w == 1 -> w = 0 }
	:: atomic { w == 0 -> w = 1 }
	:: atomic { token[w] > me -> break }              /* a look or an order is refused */
	:: atomic { token[w] <= me ->                     /* a look */
		token[w] = me; lapsed[w] = false; seen[w] = true;
		done = done || ended[w];
		placed[w] = running[w] || order[w] == me }
#ifdef NO_WAIT
	:: atomic { me == 2 && !seen[w] -> seen[w] = true }
#else
#ifdef NO_STOP
	:: atomic { me == 2 && !seen[w] && lapsed[w] -> seen[w] = true }
#else
	:: atomic { me == 2 && !seen[w] && lapsed[w] && stopped -> seen[w] = true }
#endif
#endif
	:: atomic { seen[0] && seen[1] && !placed[0] && !placed[1] && !done && !recorded && order[w] == 0 && leads == me ->
		order[w] = me; placed[w] = true }
	:: atomic { seen[0] && seen[1] && !placed[0] && !placed[1] && !done && order[w] == 0 && leads != me && me == 1 ->
		order[w] = me; placed[w] = true }         /* it does not know yet that it was replaced */
#ifdef ACK_FIRST
	:: atomic { ended[w] && token[w] == me && seen[w] -> ended[w] = false; acknowledged = true }
#endif
	:: atomic { done && !recorded && leads == me -> recorded = true }
	:: atomic { ended[w] && recorded && leads == me && token[w] == me -> ended[w] = false; acknowledged = true }
	od
}

init {
	atomic { run Worker(0); run Worker(1); run Leader(1); run Leader(2) }
}
