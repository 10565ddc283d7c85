/*
 * Model of the keys of client accounts on the users' platform: the operator replaces version 1 of the configuration by version 2, and two
 * processes decide on calls, a leader and a follower. Each reads the store, where the request and the response may take any time. The
 * follower sends a ping with its version, its evidence and the clock of the leader's latest reply; the reply has those of the leader. A
 * process may restart at any time, and then gets a configuration without evidence. Time passes at any moment, so every process may be
 * paused at any point. A process may not understand version 2. Ages count up to one more than the bound.
 *
 * Checked property: no call that is sent more than BOUND after the acknowledgement of version 2 is decided by version 1. It is accepted
 * with a withdrawn key, or rejected with an added one, only by such a decision.
 *
 * Variants that must fail: FROM_ARRIVAL (evidence of the store counts from the arrival of the response), REPLY_ARRIVAL (evidence in a
 * reply counts from its arrival), PING_ARRIVAL (evidence in a ping counts from its arrival), AGE_FIRST (the age is taken before the call
 * is read), STEADY_CLOCK (the clock of a process leaves out suspensions), KEPT (evidence is kept over a restart), NEWER (evidence about
 * version 2 is taken by a process that has version 1), SPLIT (the age is read after the version, when other evidence may have come).
 */
// broken: FROM_ARRIVAL REPLY_ARRIVAL PING_ARRIVAL AGE_FIRST STEADY_CLOCK KEPT NEWER SPLIT
#define BOUND 1
#define OLD 2 /* BOUND + 1: an age at which evidence is not used; there is none, or it is too old */
#define LEADER 0
#define FOLLOWER 1
#define NONE 255

byte stored = 1;             /* version in the store */
byte sinceAck = NONE;        /* time since version 2 was acknowledged */
byte version[2];             /* active configuration; 0 is none */
byte evidence[2] = { OLD, OLD };  /* age, by the clock of the process */
byte readAge[2] = { NONE, NONE }; /* time since a read was sent, by the clock of the process; NONE: none is in progress */
byte readVersion[2];         /* what the store responded; 0: it has not yet */

mtype = { idle, ping, reply };
mtype message = idle;        /* between follower and leader */
byte sentVersion, sentAge;   /* version and evidence in the message */
byte sentEcho = NONE;        /* with a ping: time since the reply that it echoes, by the clock of the leader */
byte pingAge;                /* time since the ping was sent, by the clock of the follower */
byte lastReply = NONE;       /* time since the leader stated the latest reply that the follower has, by the clock of the leader */
byte replyAge = NONE;        /* the same of the reply on its way */

byte decider = NONE;         /* process that decides on a call, and the version and the evidence that it has read */
byte seenVersion, seenAge;

inline older(age) { if :: age < OLD -> age++ :: else -> skip fi }
inline olderIfSet(age) { if :: age != NONE && age < OLD -> age++ :: else -> skip fi }

inline sum(result, a, b) { result = (a + b > OLD -> OLD : a + b) }

/* A process gets evidence of an age about a version. Only that about its own version counts. */
inline confirm(p, v, age) {
	if
#ifdef NEWER
	:: v >= version[p] && age < evidence[p] -> evidence[p] = age
	:: else -> skip
#else
	:: v == version[p] && age < evidence[p] -> evidence[p] = age
	:: else -> skip
#endif
	fi
}

/* A process may not understand version 2, and keeps the version that it has. */
inline apply(p, v) { if :: v > version[p] -> version[p] = v :: v == 2 || v <= version[p] -> skip fi }

inline olderSeen(p) {
#ifndef AGE_FIRST
	if :: decider == p -> older(seenAge) :: else -> skip fi
#else
	skip
#endif
}

inline clockOfLeader() {
	older(evidence[LEADER]); olderIfSet(readAge[LEADER]); olderIfSet(lastReply); olderIfSet(replyAge); olderIfSet(sentEcho);
	olderSeen(LEADER)
}

inline clockOfFollower() {
	older(evidence[FOLLOWER]); olderIfSet(readAge[FOLLOWER]);
	if :: message != idle -> older(pingAge) :: else -> skip fi;
	olderSeen(FOLLOWER)
}

proctype Time() {
	do
	:: atomic {
		olderIfSet(sinceAck);
#ifdef STEADY_CLOCK
		if :: clockOfLeader() :: skip fi;
		if :: clockOfFollower() :: skip fi
#else
		clockOfLeader();
		clockOfFollower()
#endif
	}
	od
}

/* The acknowledgement is received at once, which is the worst case. */
proctype Operator() { atomic { stored = 2; sinceAck = 0 } }

proctype Store() {
	do
	:: atomic { readAge[LEADER] != NONE && readVersion[LEADER] == 0 -> readVersion[LEADER] = stored }
	:: atomic { readAge[FOLLOWER] != NONE && readVersion[FOLLOWER] == 0 -> readVersion[FOLLOWER] = stored }
	od
}

/* The call may have been sent until it was read, which is at the latest when the age is taken. */
inline decideBy(v, age) { assert(!(v == 1 && age <= BOUND && sinceAck != NONE && sinceAck > BOUND)) }

proctype Process(byte p) {
	byte age;
	do
	:: atomic { readAge[p] == NONE -> readAge[p] = 0; readVersion[p] = 0 }
	:: atomic { readAge[p] != NONE && readVersion[p] != 0 -> /* the response arrives */
		apply(p, readVersion[p]);
#ifdef FROM_ARRIVAL
		confirm(p, readVersion[p], 0);
#else
		confirm(p, readVersion[p], readAge[p]);
#endif
		readAge[p] = NONE; readVersion[p] = 0 }
	:: atomic { decider == NONE && version[p] != 0 -> /* it reads version and evidence */
		decider = p; seenVersion = version[p]; seenAge = evidence[p] }
	:: atomic { decider == p -> /* it takes the time, and decides */
#ifdef SPLIT
		decideBy(seenVersion, evidence[p]);
#else
		decideBy(seenVersion, seenAge);
#endif
		decider = NONE; seenAge = 0; seenVersion = 0 }
	:: atomic { version[p] != 0 -> /* it restarts, and loses what it had asked for; the session ends */
		if :: decider == p -> decider = NONE; seenAge = 0; seenVersion = 0 :: else -> skip fi;
		version[p] = 0; readAge[p] = NONE; readVersion[p] = 0;
#ifndef KEPT
		evidence[p] = OLD;
#endif
		message = idle; sentVersion = 0; sentAge = 0; sentEcho = NONE; pingAge = 0; lastReply = NONE; replyAge = NONE }
	:: atomic { version[p] == 0 && version[1 - p] != 0 -> version[p] = version[1 - p] } /* the other one passes it on */
	:: atomic { p == FOLLOWER && message == idle ->
		message = ping; sentVersion = version[p]; sentAge = evidence[p]; sentEcho = lastReply; pingAge = 0 }
	:: atomic { p == LEADER && message == ping ->
		apply(p, sentVersion);
#ifdef PING_ARRIVAL
		confirm(p, sentVersion, sentAge);
#else
		if
		:: sentEcho != NONE -> sum(age, sentAge, sentEcho); confirm(p, sentVersion, age); age = 0
		:: else -> skip
		fi;
#endif
		message = reply; sentVersion = version[p]; sentAge = evidence[p]; sentEcho = NONE; replyAge = 0 }
	:: atomic { p == FOLLOWER && message == reply ->
		apply(p, sentVersion);
#ifdef REPLY_ARRIVAL
		confirm(p, sentVersion, sentAge);
#else
		sum(age, sentAge, pingAge); confirm(p, sentVersion, age); age = 0;
#endif
		lastReply = replyAge; replyAge = NONE;
		message = idle; sentVersion = 0; sentAge = 0; pingAge = 0 }
	od
}

init { atomic { run Time(); run Operator(); run Store(); run Process(LEADER); run Process(FOLLOWER) } }
