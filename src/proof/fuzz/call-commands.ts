/** Commands of the fuzzed callers, operators and faults over a `CallWorld`. */
import fc from 'fast-check';
import {type CallWorld} from './call-world.ts';
import {type FuzzedCall} from './types.ts';
import {type Treatment} from './fake-backend-server.ts';
import {type FaultCoverage, type FaultName} from './fault-coverage.ts';

/** The world checks itself at the end; no model is needed between commands. */
export type NoModel = Record<string, never>;

/** One command with its numbers, printed as it can be read. */
export class WorldCommand<World> implements fc.Command<NoModel, World> {
	private readonly _label: string;
	private readonly _numbers: readonly number[];
	private readonly _coverage: FaultCoverage;
	private readonly _apply: (world: World, numbers: readonly number[]) => void;

	constructor(label: string, numbers: readonly number[], coverage: FaultCoverage, apply: (world: World, numbers: readonly number[]) => void) {
		this._label = label;
		this._numbers = numbers;
		this._coverage = coverage;
		this._apply = apply;
	}

	check(): boolean {
		return true;
	}

	run(_model: NoModel, world: World): void {
		this._coverage.countCommand();
		this._apply(world, this._numbers);
	}

	toString(): string {
		return `${this._label}(${this._numbers.join(', ')})`;
	}
}

/** Faults that a `CallWorld` can bring about. */
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

type Apply = (world: CallWorld, numbers: readonly number[]) => void;

const pick = <T>(items: readonly T[], position: number): T | undefined => items[position % Math.max(1, items.length)];

type CallKind = Pick<FuzzedCall, 'service' | 'method' | 'timeoutMilliseconds' | 'workMilliseconds' | 'bodyMilliseconds'>;

const kinds: readonly CallKind[] = [
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

function newCall(world: CallWorld, kind: CallKind, more: Partial<FuzzedCall> = {}): FuzzedCall {
	const name = `call-${world.calls.length + 1}`;
	return {
		...kind, name, fingerprint: name, key: undefined, isIdempotent: kind.method === 'GET', isKiller: false, ...more,
	};
}

const sendCalls: Apply = (world, [vm = 0, kind = 0, count = 0]) => {
	for (let sent = 0; sent <= count; sent++) {
		const target = pick(world.vms, vm + sent);
		if (target !== undefined) {
			world.send(target, newCall(world, kinds[kind % kinds.length]!));
		}
	}
};

const sendWithKey: Apply = (world, [vm = 0, key = 0]) => {
	const target = pick(world.vms, vm);
	if (target !== undefined) {
		world.send(target, newCall(world, kinds[0]!, {key: `key-${key}`, fingerprint: `key-${key}`}));
	}
};

const sendKiller: Apply = (world, [vm = 0, killer = 0]) => {
	const target = pick(world.vms, vm);
	if (target !== undefined) {
		world.fault('killer call', true);
		world.send(target, newCall(world, kinds[1]!, {isKiller: true, fingerprint: `killer-${killer % 2}`}));
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

const treat: Apply = (world, [server = 0, treatment = 0]) => {
	const [name, fault] = pick(treatments, treatment)!;
	pick(world.servers, server)!.treatment = name;
	if (fault !== undefined) {
		world.fault(fault);
	}
};

const killServer: Apply = (world, [server = 0]) => {
	world.fault('backend server killed', true);
	pick(world.servers, server)!.kill();
};

const restartServer: Apply = (world, [server = 0]) => {
	const target = pick(world.servers, server)!;
	if (!target.isUp) {
		world.fault('backend server returns', true);
		world.restart(target);
	}
};

const freezeServer: Apply = (world, [server = 0]) => {
	const target = pick(world.servers, server)!;
	if (target.isFrozen) {
		target.thaw();
	} else if (target.isUp) {
		world.fault('backend server frozen');
		target.freeze();
	}
};

const leaveServer: Apply = (world, [server = 0, way = 0, vm = 0]) => {
	const target = pick(world.servers, server)!;
	world.fault('backend server leaves');
	if (way % 2 === 0) {
		world.redeclare(pick(world.vms, vm)!, world.servers.indexOf(target), {isLeaving: true}, false);
	} else if (target.isUp) {
		world.leave(target);
	}
};

const returnServer: Apply = (world, [server = 0, way = 0, vm = 0]) => {
	const target = pick(world.servers, server)!;
	world.fault('backend server returns', true);
	world.redeclare(pick(world.vms, vm)!, world.servers.indexOf(target), {isLeaving: false}, way % 2 === 0);
};

const killVm: Apply = (world, [vm = 0]) => {
	const target = pick(world.vms, vm);
	if (target !== undefined) {
		world.fault('VM killed', true);
		world.mark(target.name, 'killed', true);
		world.history.push({type: 'vm-ended', at: world.timeline.now, vm: target.name});
		target.kill();
		world.fault('VM replaced', true);
		world.addVm();
	}
};

const pauseVm: Apply = (world, [vm = 0, order = 0]) => {
	const target = pick(world.vms, vm);
	if (target === undefined) {
		return;
	}

	world.mark(target.name, 'paused', !target.isPaused);
	if (target.isPaused) {
		target.resume(order % 2 === 0);
	} else {
		world.fault('VM paused');
		target.pause();
	}
};

const cut: Apply = (world, [one = 0, other = 0, ways = 0]) => {
	const [from, to] = [world.party(one), world.party(other)];
	world.network.cut(from, to);
	if (ways % 2 === 0) {
		world.network.cut(to, from);
	}

	world.fault(ways % 2 === 0 ? 'cut' : 'one-way cut');
};

const healCuts: Apply = world => {
	world.network.heal();
	world.faultEnds('cut');
	world.faultEnds('one-way cut');
};

const silence: Apply = (world, [vm = 0]) => {
	world.fault('silent connections', true);
	pick(world.vms, vm)?.attempts.silenceConnections();
};

const troubleStore: Apply = (world, [kind = 0]) => {
	const {fleet} = world;
	const faults: readonly FaultName[] = ['store down', 'store slow', 'store answer lost'];
	if (kind % 4 === 3) {
		fleet.isStoreUp = true;
		fleet.isStoreSlow = false;
		world.faultEnds('store down');
		world.faultEnds('store slow');
		return;
	}

	world.fault(faults[kind % 4]!, kind % 4 === 2);
	fleet.isStoreUp &&= kind % 4 !== 0;
	fleet.isStoreSlow ||= kind % 4 === 1;
	fleet.answersToLose += kind % 4 === 2 ? 1 : 0;
};

/** How often each command is drawn. */
const table: ReadonlyArray<{readonly label: string; readonly weight: number; readonly most: readonly number[]; readonly apply: Apply}> = [
	{
		label: 'send', weight: 10, most: [9, 9, 12], apply: sendCalls,
	},
	{
		label: 'sendWithKey', weight: 4, most: [9, 5], apply: sendWithKey,
	},
	{
		label: 'sendKiller', weight: 2, most: [9, 1], apply: sendKiller,
	},
	{
		label: 'callerLeaves', weight: 2, most: [9], apply: (world, [vm = 0]) => pick(world.vms, vm)?.loseCaller(),
	},
	{
		label: 'wait', weight: 10, most: [60], apply(world, [milliseconds = 0]) {
			world.advance(milliseconds);
		},
	},
	{
		label: 'waitLong', weight: 5, most: [9], apply(world, [seconds = 0]) {
			world.advance(1000 * seconds);
		},
	},
	{
		label: 'treat', weight: 3, most: [7, 5], apply: treat,
	},
	{
		label: 'killServer', weight: 2, most: [7], apply: killServer,
	},
	{
		label: 'restartServer', weight: 2, most: [7], apply: restartServer,
	},
	{
		label: 'freezeServer', weight: 2, most: [7], apply: freezeServer,
	},
	{
		label: 'leaveServer', weight: 2, most: [7, 1, 9], apply: leaveServer,
	},
	{
		label: 'returnServer', weight: 2, most: [7, 1, 9], apply: returnServer,
	},
	{
		label: 'killVm', weight: 1, most: [9], apply: killVm,
	},
	{
		label: 'pauseVm', weight: 3, most: [9, 1], apply: pauseVm,
	},
	{
		label: 'cut', weight: 3, most: [11, 11, 1], apply: cut,
	},
	{
		label: 'healCuts', weight: 1, most: [], apply: healCuts,
	},
	{
		label: 'silence', weight: 2, most: [9], apply: silence,
	},
	{
		label: 'troubleStore', weight: 3, most: [3], apply: troubleStore,
	},
];

/** Lists of commands, at most `most` long. */
export function callCommands(coverage: FaultCoverage, most: number): fc.Arbitrary<Iterable<fc.Command<NoModel, CallWorld>>> {
	const one = fc.oneof(...table.map(({label, weight, most: limits, apply}) => ({
		weight,
		arbitrary: fc.tuple(...limits.map(limit => fc.nat(limit))).map((numbers: readonly number[]) => new WorldCommand(label, numbers, coverage, apply)),
	})));
	return fc.commands([one], {maxCommands: most, size: 'max'});
}
