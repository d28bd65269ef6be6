/** Commands on a `CallWorld`: calls, changes by operators, and faults. */
import {type CallWorld} from './call-world.ts';
import {type FaultName} from './fault-coverage.ts';
import {type Treatment} from './fake-backend-server.ts';
import {type FuzzedCall} from './types.ts';
import {type ApplyCommand, type CommandKind, pickModulo} from './world-command.ts';

/** Faults that a `CallWorld` can cause. */
export const callFaults: readonly FaultName[] = [
	'backend server killed',
	'backend server frozen',
	'backend server slow',
	'backend server fails fast',
	'backend server sheds',
	'backend server leaves',
	'backend server returns',
	'misleading health',
	'silent connections',
	'killer call',
	'VM killed',
	'VM paused',
	'VM replaced',
	'cut',
	'one-way cut',
	'store down',
	'store slow',
	'store answer lost',
];

type CallApply = ApplyCommand<CallWorld>;

type CallKind = Pick<FuzzedCall, 'service' | 'method' | 'timeoutMilliseconds' | 'workMilliseconds' | 'bodyMilliseconds'>;

const callKinds: readonly CallKind[] = [
	{
		service: 'orders', method: 'POST', timeoutMilliseconds: 2000, workMilliseconds: 20, bodyMilliseconds: 2,
	},
	{
		service: 'reads', method: 'GET', timeoutMilliseconds: 1000, workMilliseconds: 5, bodyMilliseconds: 2,
	},
	{
		service: 'reads', method: 'GET', timeoutMilliseconds: 3000, workMilliseconds: 50, bodyMilliseconds: 4000,
	},
	{
		service: 'reads', method: 'GET', timeoutMilliseconds: 30, workMilliseconds: 25, bodyMilliseconds: 1,
	},
	{
		service: 'reads', method: 'POST', timeoutMilliseconds: 500, workMilliseconds: 100, bodyMilliseconds: 10,
	},
];

function createCall(world: CallWorld, kind: CallKind, overrides: Partial<FuzzedCall> = {}): FuzzedCall {
	const name = `call-${world.calls.length + 1}`;
	return {
		...kind, name, fingerprint: name, key: undefined, isIdempotent: kind.method === 'GET', crashesBackendServer: false, ...overrides,
	};
}

const sendCalls: CallApply = (world, [vm = 0, kind = 0, count = 0]) => {
	for (let sent = 0; sent <= count; sent++) {
		const target = pickModulo(world.vms, vm + sent);
		if (target !== undefined) {
			world.send(target, createCall(world, callKinds[kind % callKinds.length]!));
		}
	}
};

const sendWithKey: CallApply = (world, [vm = 0, key = 0]) => {
	const target = pickModulo(world.vms, vm);
	if (target !== undefined) {
		world.send(target, createCall(world, callKinds[0]!, {key: `key-${key}`, fingerprint: `key-${key}`}));
	}
};

const sendKiller: CallApply = (world, [vm = 0, killer = 0]) => {
	const target = pickModulo(world.vms, vm);
	if (target !== undefined) {
		world.faults.begin('killer call', true);
		world.send(target, createCall(world, callKinds[1]!, {crashesBackendServer: true, fingerprint: `killer-${killer % 2}`}));
	}
};

const treatments: ReadonlyArray<[Treatment, FaultName | undefined]> = [
	['normal', undefined],
	['slow', 'backend server slow'],
	['fails-fast', 'backend server fails fast'],
	['sheds', 'backend server sheds'],
	['bare-503', 'backend server fails fast'],
	['misleads', 'misleading health'],
];

const setTreatment: CallApply = (world, [server = 0, treatment = 0]) => {
	const [name, fault] = pickModulo(treatments, treatment)!;
	pickModulo(world.servers, server)!.treatment = name;
	if (fault !== undefined) {
		world.faults.begin(fault);
	}
};

const killServer: CallApply = (world, [server = 0]) => {
	world.faults.begin('backend server killed', true);
	pickModulo(world.servers, server)!.kill();
};

const restartServer: CallApply = (world, [server = 0]) => {
	const target = pickModulo(world.servers, server)!;
	if (!target.isUp) {
		world.faults.begin('backend server returns', true);
		world.restart(target);
	}
};

const freezeServer: CallApply = (world, [server = 0]) => {
	const target = pickModulo(world.servers, server)!;
	if (target.isFrozen) {
		target.thaw();
	} else if (target.isUp) {
		world.faults.begin('backend server frozen');
		target.freeze();
	}
};

const leaveServer: CallApply = (world, [server = 0, way = 0, vm = 0]) => {
	const target = pickModulo(world.servers, server)!;
	world.faults.begin('backend server leaves');
	if (way % 2 === 0) {
		world.redeclare(pickModulo(world.vms, vm)!, world.servers.indexOf(target), {isLeaving: true}, false);
	} else if (target.isUp) {
		world.startLeaving(target);
	}
};

const returnServer: CallApply = (world, [server = 0, way = 0, vm = 0]) => {
	const target = pickModulo(world.servers, server)!;
	world.faults.begin('backend server returns', true);
	world.redeclare(pickModulo(world.vms, vm)!, world.servers.indexOf(target), {isLeaving: false}, way % 2 === 0);
};

const killVm: CallApply = (world, [vm = 0]) => {
	const target = pickModulo(world.vms, vm);
	if (target !== undefined) {
		world.faults.begin('VM killed', true);
		world.recordFault(target.name, 'killed', true);
		world.history.push({type: 'vm-ended', at: world.timeline.now, vm: target.name});
		target.kill();
		world.faults.begin('VM replaced', true);
		world.addVm();
	}
};

const pauseVm: CallApply = (world, [vm = 0, order = 0]) => {
	const target = pickModulo(world.vms, vm);
	if (target === undefined) {
		return;
	}

	world.recordFault(target.name, 'paused', !target.isPaused);
	if (target.isPaused) {
		target.resume(order % 2 === 0);
	} else {
		world.faults.begin('VM paused');
		target.pause();
	}
};

const cut: CallApply = (world, [one = 0, other = 0, ways = 0]) => {
	const [from, to] = [world.party(one), world.party(other)];
	world.network.cut(from, to);
	if (ways % 2 === 0) {
		world.network.cut(to, from);
	}

	world.faults.begin(ways % 2 === 0 ? 'cut' : 'one-way cut');
};

const healCuts: CallApply = world => {
	world.network.heal();
	world.faults.end('cut');
	world.faults.end('one-way cut');
};

const silenceConnections: CallApply = (world, [vm = 0]) => {
	world.faults.begin('silent connections', true);
	pickModulo(world.vms, vm)?.attempts.silenceConnections();
};

const disturbStore: CallApply = (world, [kind = 0]) => {
	const {fleet} = world;
	const faults: readonly FaultName[] = ['store down', 'store slow', 'store answer lost'];
	if (kind % 4 === 3) {
		fleet.isStoreUp = true;
		fleet.isStoreSlow = false;
		world.faults.end('store down');
		world.faults.end('store slow');
		return;
	}

	world.faults.begin(faults[kind % 4]!, kind % 4 === 2);
	fleet.isStoreUp &&= kind % 4 !== 0;
	fleet.isStoreSlow ||= kind % 4 === 1;
	fleet.answersToLose += kind % 4 === 2 ? 1 : 0;
};

/** Command kinds with their weights. */
export const callCommandKinds: ReadonlyArray<CommandKind<CallWorld>> = [
	{
		label: 'send', weight: 10, maxValues: [9, 9, 12], apply: sendCalls,
	},
	{
		label: 'sendWithKey', weight: 4, maxValues: [9, 5], apply: sendWithKey,
	},
	{
		label: 'sendKiller', weight: 2, maxValues: [9, 1], apply: sendKiller,
	},
	{
		label: 'callerLeaves', weight: 2, maxValues: [9], apply: (world, [vm = 0]) => pickModulo(world.vms, vm)?.disconnectCaller(),
	},
	{
		label: 'wait', weight: 10, maxValues: [60], apply(world, [milliseconds = 0]) {
			world.advance(milliseconds);
		},
	},
	{
		label: 'waitLong', weight: 5, maxValues: [9], apply(world, [seconds = 0]) {
			world.advance(1000 * seconds);
		},
	},
	{
		label: 'treat', weight: 3, maxValues: [7, 5], apply: setTreatment,
	},
	{
		label: 'killServer', weight: 2, maxValues: [7], apply: killServer,
	},
	{
		label: 'restartServer', weight: 2, maxValues: [7], apply: restartServer,
	},
	{
		label: 'freezeServer', weight: 2, maxValues: [7], apply: freezeServer,
	},
	{
		label: 'leaveServer', weight: 2, maxValues: [7, 1, 9], apply: leaveServer,
	},
	{
		label: 'returnServer', weight: 2, maxValues: [7, 1, 9], apply: returnServer,
	},
	{
		label: 'killVm', weight: 1, maxValues: [9], apply: killVm,
	},
	{
		label: 'pauseVm', weight: 3, maxValues: [9, 1], apply: pauseVm,
	},
	{
		label: 'cut', weight: 3, maxValues: [11, 11, 1], apply: cut,
	},
	{
		label: 'healCuts', weight: 1, maxValues: [], apply: healCuts,
	},
	{
		label: 'silence', weight: 2, maxValues: [9], apply: silenceConnections,
	},
	{
		label: 'troubleStore', weight: 3, maxValues: [3], apply: disturbStore,
	},
];
