import {expect} from 'earl';
import fc from 'fast-check';
import {type ResourceKey} from '../../model/resources.ts';
import {
	FakeFleet, type StoreMode, testChange, testService,
} from '../test-utilities.test.ts';
import {type ChangeSummary} from '../types.ts';

/** One step of a run: an operator's change or a fault, after which virtual time passes. */
type Step
	= | {readonly kind: 'change'; readonly vm: number; readonly service: number; readonly isChecked: boolean; readonly milliseconds: number}
		| {readonly kind: 'store'; readonly mode: StoreMode; readonly share: number; readonly milliseconds: number}
		| {readonly kind: 'pause' | 'kill' | 'add'; readonly vm: number; readonly milliseconds: number};

const faultMilliseconds = fc.integer({min: 1, max: 4000});
const steps: fc.Arbitrary<Step[]> = fc.array(fc.oneof(
	{
		weight: 4, arbitrary: fc.record({
			kind: fc.constant('change' as const), vm: fc.nat(9), service: fc.nat(2), isChecked: fc.boolean(), milliseconds: fc.integer({min: 1, max: 600}),
		}),
	},
	{
		weight: 2, arbitrary: fc.record({
			kind: fc.constant('store' as const), mode: fc.constantFrom<StoreMode>('up', 'down', 'lost', 'late', 'stale'), share: fc.nat(2), milliseconds: fc.integer({min: 1, max: 15_000}),
		}),
	},
	{weight: 1, arbitrary: fc.record({kind: fc.constantFrom('pause' as const, 'kill' as const, 'add' as const), vm: fc.nat(9), milliseconds: faultMilliseconds})},
), {minLength: 5, maxLength: 25});

/** An operator's request, and the configuration version in the store when it was sent. */
type RequestRecord = {readonly key: ResourceKey; readonly expected: number | undefined; readonly headVersion: number};

class ConfigurationRun {
	readonly fleet: FakeFleet;
	readonly requests = new Map<number, RequestRecord>();

	constructor(seed: number) {
		this.fleet = new FakeFleet(seed);
		for (const name of ['vm-0', 'vm-1', 'vm-2']) {
			this.fleet.add(name);
		}

		this.fleet.run(3000);
	}

	apply(step: Step, index: number): void {
		const running = this.fleet.vms.filter(({isRunning}) => isRunning);
		const vm = step.kind === 'store' ? undefined : running[step.vm % Math.max(1, running.length)];
		if (step.kind === 'store') {
			this.fleet.staleEntries = step.mode === 'stale' ? new Map(this.fleet.store.entries) : this.fleet.staleEntries;
			// Every (`share` + 1)th store operation meets the fault.
			let count = 0;
			this.fleet.modeOf = () => {
				count += 1;
				return count % (step.share + 1) === 0 ? step.mode : undefined;
			};
		} else if (step.kind === 'add') {
			this.fleet.add(`added-${index}`);
		} else if (vm && step.kind === 'change') {
			const name = `service-${step.service}`;
			const operationId = `operation-${index}`;
			// The operator reads the current version through another VM than the one that receives the change.
			const other = running[(step.vm + 1) % running.length]!;
			const expected = step.isChecked ? other.engine.resource(`service/${name}`)?.metadata.version ?? 0 : undefined;
			this.requests.set(index, {key: `service/${name}`, expected, headVersion: this.fleet.headVersion()});
			this.fleet.dispatch(vm, {type: 'operator-change', requestId: index, change: testChange(operationId, [testService(name)], expected)});
		} else if (vm && step.kind === 'pause') {
			this.fleet.pause(vm, step.milliseconds);
		} else if (vm && running.length > 1) {
			this.fleet.kill(vm);
		}

		this.fleet.run(step.milliseconds);
	}

	/** Ends all faults and lets the remaining VMs converge on one configuration. */
	heal(): void {
		this.fleet.modeOf = () => undefined;
		this.fleet.run(45_000);
	}
}

/** Version that a resource had at a version of the configuration, from the history; 0 = none. */
function versionAt(history: readonly ChangeSummary[], key: ResourceKey, headVersion: number): number {
	return Math.max(0, ...history.filter(({version, changes}) => version <= headVersion && changes.some(change => change.key === key)).map(({version}) => version));
}

describe('configuration under faults', () => {
	// Guards against false answers to operators and against a return to an older version, after which an order could run
	// under a withdrawn rule. Operators change the same services through several VMs while the store is unavailable, loses
	// replies or serves stale reads, and VMs are paused, killed and started.
	it('every answer is true, no VM returns to an older version, and all VMs converge', () => {
		const counts: Record<string, number> = {};
		fc.assert(fc.property(steps, fc.nat(1000), (list, seed) => {
			const run = new ConfigurationRun(seed);
			for (const [index, step] of list.entries()) {
				run.apply(step, index);
			}

			run.heal();
			const {fleet} = run;
			const survivors = fleet.vms.filter(({isGone}) => !isGone);
			const history = survivors[0]!.engine.history(1000);
			const versionOf = new Map(history.map(({operationId, version}) => [operationId, version]));
			for (const vm of fleet.vms) {
				for (const {requestId, answer, headVersion} of vm.answerRecords) {
					const operationId = `operation-${requestId}`;
					counts[answer.type] = (counts[answer.type] ?? 0) + 1;
					if (answer.type === 'accepted') {
						expect([operationId, versionOf.get(operationId)]).toEqual([operationId, answer.version]);
					} else if (answer.type !== 'unknown') {
						expect([operationId, answer.type, versionOf.has(operationId)]).toEqual([operationId, answer.type, false]);
					}

					if (answer.type === 'conflict') {
						// A conflict is false if the resource had the expected version both at the request and at the answer.
						const {key, expected, headVersion: requestedAtVersion} = run.requests.get(requestId)!;
						expect([versionAt(history, key, requestedAtVersion), versionAt(history, key, headVersion)]).not.toEqual([expected!, expected!]);
					} else if (answer.type === 'refused') {
						expect(['store-unavailable', 'contended']).toInclude(answer.failure.kind);
					}
				}

				expect(vm.versions).toEqual(vm.versions.toSorted((a, b) => a - b));
			}

			expect(new Set(history.map(({operationId}) => operationId)).size).toEqual(history.length);
			expect(new Set(survivors.map(({engine}) => JSON.stringify(engine.resources()))).size).toEqual(1);
			expect(survivors.every(({isCutOff, configuration}) => !isCutOff && configuration !== undefined)).toEqual(true);
		}), {seed: 21, numRuns: 120});
		expect(Object.keys(counts).toSorted((a, b) => a.localeCompare(b))).toEqual(['accepted', 'conflict', 'refused', 'unknown']);
	});
});
