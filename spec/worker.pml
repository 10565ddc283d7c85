/*
 * Model of the ownership of one worker by two processes, for guarantees 1 and 2: claim, epoch, lease, takeover, delayed
 * starts, and clocks that run at different rates. Attempt 1 of a task is started on the worker; its home starts attempt 2
 * elsewhere once attempt 1 is certainly not running. A second task competes for the capacity of the worker. Messages may
 * be delayed without bound, duplicated and lost; a process may suspect the other one at any time, rightly or wrongly.
 *
 * Variants that must fail: NO_EPOCH (the worker accepts requests with any epoch), NO_WAIT (the home starts attempt 2 as soon
 * as it suspects the owner of attempt 1), NO_MARGIN (the bound leaves out the drift of the worker's clock), NO_CAPACITY
 * (the worker does not check its capacity), NO_REFUSAL (the worker does not remember that it refused attempt 1), NO_EXPIRY
 * (the worker accepts requests after its task lease has expired), NO_INVENTORY (the home accepts an inventory that is not
 * bound to a higher epoch).
 */
// broken: NO_EPOCH NO_WAIT NO_MARGIN NO_CAPACITY NO_REFUSAL NO_EXPIRY NO_INVENTORY

#define CONTROL_LEASE 1 /* control lease in ticks */
#define TASK_LEASE 2    /* task lease in ticks of the worker's clock */
#define MAX_LAG 1       /* ticks by which the worker's clock may fall behind during a task lease */
#ifdef NO_MARGIN
#define TASK_LEASE_BOUND TASK_LEASE
#else
#define TASK_LEASE_BOUND (TASK_LEASE + MAX_LAG) /* owner.TaskLeaseBound */
#endif
#define MAX_EPOCH 3
#define MAX_TICKS 6

mtype = { unplaced, placed, ownerLost, attemptEnded, placedElsewhere };

byte epoch, holder;                      /* of the worker; holder 0 is none, otherwise process + 1 */
byte lease, taskLease;                   /* ticks until the leases expire, by the worker's clock */
bool run1, otherTask, run2;              /* running: attempt 1 and the other task on the worker; attempt 2 elsewhere */
bool rememberedStart, rememberedRefusal; /* attempts that the worker remembers: attempt 1 as started, as refused */
byte heldEpoch[2];                       /* epoch under which each process believes that it owns the worker; 0 is none */
byte leaseLeft[2];                       /* ticks until the lease expires, counted by the process from before its request */
byte startCopies[2];                     /* epochs of the copies of the start of attempt 1 that are in flight; 0 is none */
byte otherStart;                         /* epoch of the start of the other task in flight; 0 is none */
mtype home = unplaced;                   /* state of attempt 1 as its home knows it */
byte placedAt;                           /* process at which attempt 1 was placed */
byte boundLeft;                          /* ticks until attempt 1 has certainly ended unless the lease is renewed */
byte ticks, lagTicks;

inline check() {
  assert(!(run1 && run2));                 /* guarantee 2 */
  assert((run1 -> 1 : 0) + (otherTask -> 1 : 0) <= 1) /* guarantee 1: the worker has capacity for one task */
}

/* home.(*term).followAttempt begins: the owner of attempt 1 was lost. */
inline loseOwner(p) {
  if
  :: home == placed && placedAt == p -> home = ownerLost
  :: else
  fi
}

/* grant.(*WorkerState).Claim and worker.(*Worker).ClaimGranted; owner.(*workerManager).claim retries with supersede on any
 * suspicion. The inventory tells the home whether attempt 1 is running: owner.(*workerManager).adopt,
 * home.(*partition).surveyHolders. */
inline claim(p, supersede) {
  atomic {
    epoch < MAX_EPOCH && heldEpoch[p] == 0 && (holder == 0 || holder == p + 1 || lease == 0 || supersede) ->
    epoch++; holder = p + 1; lease = CONTROL_LEASE; taskLease = TASK_LEASE; boundLeft = TASK_LEASE_BOUND;
    heldEpoch[p] = epoch; leaseLeft[p] = CONTROL_LEASE;
    if
    :: home == ownerLost && run1 -> home = placed; placedAt = p
    :: home == ownerLost && !run1 -> home = attemptEnded
    :: else
    fi
  }
}

inline loseLease(p) {
  atomic { heldEpoch[p] != 0 -> heldEpoch[p] = 0; loseOwner(p) }
}

/* grant.(*WorkerState).checkEpoch: the epoch holds the control lease, and the task lease has not expired. */
#ifdef NO_EPOCH
#define ACCEPTS(e) (holder != 0 && taskLease > 0)
#else
#ifdef NO_EXPIRY
#define ACCEPTS(e) (e == epoch && holder != 0)
#else
#define ACCEPTS(e) (e == epoch && holder != 0 && taskLease > 0)
#endif
#endif

#ifdef NO_CAPACITY
#define HAS_CAPACITY true
#else
#define HAS_CAPACITY (!run1 && !otherTask)
#endif

/* grant.(*WorkerState).Start for attempt 1. The response to a copy may be lost. */
inline deliverStart(i) {
  atomic {
    startCopies[i] != 0 ->
    if
    :: !ACCEPTS(startCopies[i]) -> skip
    :: ACCEPTS(startCopies[i]) && rememberedStart -> skip
#ifndef NO_REFUSAL
    :: ACCEPTS(startCopies[i]) && !rememberedStart && rememberedRefusal -> skip
#endif
    :: ACCEPTS(startCopies[i]) && !rememberedStart && !rememberedRefusal && HAS_CAPACITY ->
       rememberedStart = true; run1 = true
#ifdef NO_REFUSAL
    :: ACCEPTS(startCopies[i]) && !rememberedStart && rememberedRefusal && HAS_CAPACITY ->
       rememberedStart = true; run1 = true
#endif
    :: ACCEPTS(startCopies[i]) && !rememberedStart && !HAS_CAPACITY -> rememberedRefusal = true;
       if
       :: home == placed && heldEpoch[placedAt] == startCopies[i] -> home = attemptEnded /* owner.(*Service).startRefused */
       :: skip /* the response is lost */
       fi
    fi;
    startCopies[i] = 0;
    check()
  }
}

active proctype model() {
end:
  do
  :: claim(0, false)
  :: claim(1, false)
  :: claim(0, true)
  :: claim(1, true)

  /* owner.(*Service).start; worker.(*Worker).Reserve requires the lease. */
  :: atomic { home == unplaced && heldEpoch[0] != 0 && leaseLeft[0] > 0 ->
       home = placed; placedAt = 0; startCopies[0] = heldEpoch[0] }

  /* owner.(*Service).resolveStart sends a copy while the process holds the same epoch. */
  :: atomic { home == placed && startCopies[1] == 0 && !run1 && heldEpoch[placedAt] != 0 ->
       startCopies[1] = heldEpoch[placedAt] }

  :: deliverStart(0)
  :: deliverStart(1)
  :: atomic { startCopies[0] != 0 -> startCopies[0] = 0 } /* the message is lost */

  /* owner.(*Service).start of the other task, by either process; its view of the free capacity may be wrong. */
  :: atomic { otherStart == 0 && !otherTask && heldEpoch[0] != 0 && leaseLeft[0] > 0 -> otherStart = heldEpoch[0] }
  :: atomic { otherStart == 0 && !otherTask && heldEpoch[1] != 0 && leaseLeft[1] > 0 -> otherStart = heldEpoch[1] }

  /* grant.(*WorkerState).Start and grant.(*WorkerState).Finish for the other task. */
  :: atomic { otherStart != 0 ->
       if
       :: ACCEPTS(otherStart) && HAS_CAPACITY -> otherTask = true
       :: else
       fi;
       otherStart = 0; check() }
  :: atomic { otherTask -> otherTask = false }

  /* grant.(*WorkerState).Sync and worker.(*Worker).LeaseRenewed. */
  :: atomic { holder != 0 && heldEpoch[holder - 1] == epoch && ACCEPTS(epoch) ->
       lease = CONTROL_LEASE; taskLease = TASK_LEASE; boundLeft = TASK_LEASE_BOUND; leaseLeft[holder - 1] = CONTROL_LEASE }

  /* owner.(*workerManager).loseLease and worker.(*Worker).LeaseLost: the process died, was paused, or its epoch was
   * refused. */
  :: loseLease(0)
  :: loseLease(1)

  /* owner.(*workerManager).releaseLease and grant.(*WorkerState).Release. */
  :: atomic { holder == 1 && heldEpoch[0] == epoch -> holder = 0; heldEpoch[0] = 0; loseOwner(0) }
  :: atomic { holder == 2 && heldEpoch[1] == epoch -> holder = 0; heldEpoch[1] = 0; loseOwner(1) }

#ifdef NO_INVENTORY
  /* An inventory that is not bound to a higher epoch: a start may still be in flight. */
  :: atomic { home == ownerLost && !run1 -> home = attemptEnded }
#endif
#ifdef NO_WAIT
  /* The owner is only suspected to be dead, and the home does not wait. */
  :: atomic { home == ownerLost -> home = attemptEnded }
#endif

  /* Time passes. The worker's clock may fall behind; grant.(*WorkerState).ExpireTasks stops the tasks.
   * owner.(*workerManager).ownership tells the home when the bound has passed. */
  :: atomic { ticks < MAX_TICKS ->
       ticks++;
       if
       :: lagTicks < MAX_LAG && taskLease > 0 -> lagTicks++
       :: lease = (lease > 0 -> lease - 1 : 0);
          taskLease = (taskLease > 0 -> taskLease - 1 : 0);
          if
          :: taskLease == 0 -> run1 = false; otherTask = false
          :: else
          fi
       fi;
       leaseLeft[0] = (leaseLeft[0] > 0 -> leaseLeft[0] - 1 : 0);
       leaseLeft[1] = (leaseLeft[1] > 0 -> leaseLeft[1] - 1 : 0);
       boundLeft = (boundLeft > 0 -> boundLeft - 1 : 0);
       if
       :: home == ownerLost && boundLeft == 0 -> home = attemptEnded
       :: else
       fi }

  /* home.(*term).runAttempts starts attempt 2 elsewhere. */
  :: atomic { home == attemptEnded -> home = placedElsewhere; run2 = true; check() }
  od
}
