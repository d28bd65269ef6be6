/**
 * The life of a backend server as this VM sees it. The chart is a file; here it becomes a table, since a
 * step of xstate's pure transition costs more than placing a call does.
 */
import chart from '../../../charts/backend-server-health.json' with {type: 'json'};

/** States of the chart. */
export type Health = keyof typeof chart.states;

/** What moves a backend server from one state to another. */
export type HealthEvent
	/** It has had its time to warm up. */
	= | 'WARM'
	/** An attempt got no sign of life, and neither did any other since. */
		| 'SILENT'
	/** It has answered an attempt. */
		| 'ANSWERED'
	/** It failed the call that was to tell whether it works. */
		| 'FAILING'
	/** Its time out is over: one call may try it. */
		| 'PROBE'
	/** It, a peer or an operator says that it leaves. */
		| 'LEAVE'
	/** A new process answers under its address, or an operator has taken its leaving back. */
		| 'RETURN';

/** State of a backend server that nothing is known of. */
export const initialHealth: Health = chartState(chart.initial);

const table = new Map<Health, ReadonlyMap<string, Health>>(Object.entries(chart.states).map(([state, {on}]) => [
	chartState(state),
	new Map(Object.entries(on).map(([event, target]) => [event, chartState(target)])),
]));

/** The next state; an event that a state does not name leaves it as it is. */
export function nextHealth(state: Health, event: HealthEvent): Health {
	return table.get(state)?.get(event) ?? state;
}

function chartState(name: string): Health {
	return isHealth(name) ? name : 'warming';
}

function isHealth(name: string): name is Health {
	return Object.hasOwn(chart.states, name);
}
