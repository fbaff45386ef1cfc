/*
 * How a gateway knows up to when its state of the ledger holds: packages controller
 * (keepSure), follow (SureUntil) and ingress (Keys).
 *
 * One change takes a key away; it is accepted at some time. A control host that may lag
 * asks the leader again and again whether it has everything, and applies what is missing
 * before it counts that as confirmed, as of when it asked. A gateway asks the control
 * host, which holds the question, and answers with the age of its confirmation, the time
 * that it held the question, and the index of its state; the answer may take any time.
 * The gateway fetches the state at any time, or not. It may be frozen. Checked: no key is
 * served LEASE or more after the change that took it away was accepted.
 *
 * The log itself is checked by log.pml; here a confirmation gives what was accepted at
 * some moment between the question to the leader and its answer.
 *
 * Planted faults, one at a time by -D: NO_CONFIRM (a control host takes what it has
 * for confirmed), CONFIRM_LATE (as of the leader's answer), FROM_ANSWER (the gateway
 * counts from when the answer came), HELD_TWICE (the time held isn't part of the age),
 * ANY_INDEX (a confirmation counts for a state that hasn't been fetched), STILL_CLOCK (the
 * gateway's clock stands still while it is frozen). Each must fail.
 */

#define END 6
#define LEASE 2
#define NEVER 100

byte now = 0;
byte acceptedAt = NEVER;

#ifdef STILL_CLOCK
byte gatewayNow = 0;
bool frozen = false;
#define GATEWAY gatewayNow
#define AWAKE !frozen
#else
#define GATEWAY now /* a freeze is just a long delay */
#define AWAKE true
#endif

/* the control host */
bool controlHas = false; /* the change is in its state */
bool sureHas = false;    /* and was when it was last sure */
byte sureAt = NEVER;     /* NEVER: not sure yet */

/* the gateway */
bool gatewayHas = false;
bool toldHas = false;
short toldAt = -100;

#ifdef ANY_INDEX
#define COUNTS true
#else
#define COUNTS !toldHas
#endif

/* time passes, an operator's change is accepted, the log reaches the control host, the
 * gateway fetches the state, and a caller sends the key: each at any time */
active proctype world()
{
	do
	:: now < END -> atomic {
		now++;
#ifdef STILL_CLOCK
		if
		:: !frozen -> gatewayNow = now
		:: frozen -> skip
		fi
#endif
	}
#ifdef STILL_CLOCK
	:: atomic { frozen = !frozen }
#endif
	:: atomic { acceptedAt == NEVER -> acceptedAt = now }
	:: atomic { acceptedAt != NEVER && !controlHas -> controlHas = true }
	:: atomic { controlHas && !gatewayHas -> gatewayHas = true }
	:: atomic { AWAKE && !gatewayHas && COUNTS && GATEWAY - toldAt < LEASE ->
		assert(acceptedAt == NEVER || now < acceptedAt + LEASE) }
	:: now == END -> break
	od
}

active proctype control()
{
	byte asked = 0;
	bool has = false;
	do
	:: now < END ->
		atomic { asked = now; has = false }
#ifdef NO_CONFIRM
		skip;
#else
		has = (acceptedAt != NEVER);
#endif
		atomic {
			(!has || controlHas || now == END);
			if
			:: now == END -> break
			:: else -> skip
			fi;
#ifdef CONFIRM_LATE
			asked = now;
#endif
			sureAt = asked;
			sureHas = controlHas;
			asked = 0;
			has = false
		}
	:: now == END -> break
	od
}

active proctype gateway()
{
	byte asked = 0, received = 0;
	short from = 0;
	bool has = false;
	do
	:: now < END ->
		asked = GATEWAY;
		received = now;
		atomic {
			(sureAt != NEVER || now == END);
			if
			:: now == END -> break
			:: else -> skip
			fi;
			/* held until now, and as old as that */
			from = (now - received) - (now - sureAt);
#ifdef HELD_TWICE
			from = from + (now - received);
#endif
#ifdef FROM_ANSWER
			from = sureAt - now;
#endif
			has = sureHas;
			received = 0
		}
		atomic {
			toldHas = has;
#ifdef FROM_ANSWER
			toldAt = GATEWAY + from;
#else
			toldAt = asked + from;
#endif
			asked = 0;
			from = 0;
			has = false
		}
	:: now == END -> break
	od
}
