/**
 * State machine for the health of a backend server. The state chart is a JSON file; it is converted to a table, since
 * one call of xstate's pure `transition` costs more than placing a call.
 */
import chart from '../../../../charts/backend-server-health.json' with {type: 'json'};

export type Health = keyof typeof chart.states;

/** Events that change the health of a backend server. */
export type HealthEvent
	/** Its warm-up time has passed. */
	= | 'WARM'
	/** An attempt got no response, and no other attempt has got one since. */
		| 'SILENT'
	/** It answered an attempt or a load probe. */
		| 'ANSWERED'
	/** It failed a call while in state `doubted` or `probing`. */
		| 'FAILING'
	/** Its ejection time has passed: one trial call may be sent to it. */
		| 'PROBE'
	/** A report of its own, a peer or an operator signals that it is leaving. */
		| 'LEAVE'
	/** A new process answers at its address, or an operator withdrew its leaving. */
		| 'RETURN';

/** State of a backend server without any answer or report. */
export const initialHealth: Health = toHealth(chart.initial);

const transitionTable = new Map<Health, ReadonlyMap<string, Health>>(Object.entries(chart.states).map(([state, {on}]) => [
	toHealth(state),
	new Map(Object.entries(on).map(([event, target]) => [event, toHealth(target)])),
]));

/** Returns the next state. An event that the state does not handle leaves it unchanged. */
export function nextHealth(state: Health, event: HealthEvent): Health {
	return transitionTable.get(state)?.get(event) ?? state;
}

function toHealth(name: string): Health {
	return isHealth(name) ? name : 'warming';
}

function isHealth(name: string): name is Health {
	return Object.hasOwn(chart.states, name);
}
