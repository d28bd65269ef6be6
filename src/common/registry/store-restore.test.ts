import {expect} from 'earl';
import {type Restore, RestoreRun} from './restore-harness.test.ts';

/** VMs of a data centre that read the store for others, and those that take their place. */
const vmsPerReader = 64;
const standbyCount = 3;

const seeds = [1, 2, 3, 4, 5, 6, 7, 8];

/** Short and long outages and backup ages. */
const restores: ReadonlyMap<string, Restore> = new Map([
	['away for 10 ms, backup of 1 s before', {awayMilliseconds: 10, backupAgeMilliseconds: 1000, rewriteMilliseconds: 100}],
	['away for 10 ms, backup of 3 s before', {awayMilliseconds: 10, backupAgeMilliseconds: 3000, rewriteMilliseconds: 1500}],
	['away for 0.7 s, backup of 2 s before', {awayMilliseconds: 700, backupAgeMilliseconds: 2000, rewriteMilliseconds: 400}],
	['away for 2.5 s, backup of 5 s before', {awayMilliseconds: 2500, backupAgeMilliseconds: 5000, rewriteMilliseconds: 50}],
	['away for 5 s, backup of 3 s before', {awayMilliseconds: 5000, backupAgeMilliseconds: 3000, rewriteMilliseconds: 1000}],
]);

/** Plays one case with all seeds and returns the first violations of each seed. */
function violationsOf(play: (run: RestoreRun) => void): Record<string, string[]> {
	return Object.fromEntries(seeds.map(seed => {
		const run = new RestoreRun(seed);
		play(run);
		return [`seed ${seed}`, [...run.violations, ...run.differences()].slice(0, 3)] as const;
	}).filter(([, violations]) => violations.length > 0));
}

describe('a store restored from a backup', function () {
	this.timeout(120_000);

	for (const [name, restore] of restores) {
		// Guards against VMs that wait for changes after a revision which the restored store assigns again.
		it(`delays no confirmed version (${name})`, () => {
			expect(violationsOf(run => {
				run.restore(restore, () => {
					run.writeVersion();
				});
				run.advance(run.model.random.next() * 2500);
				run.writeVersion();
				run.advance(9000);
			})).toEqual({});
		});

		// Guards against backend servers and VMs taken for gone because the backup is older than their entries.
		it(`removes no member that has joined since the backup (${name})`, () => {
			expect(violationsOf(run => {
				run.restore(restore, () => {
					run.addServer('s90');
					run.addServer('s91');
					run.model.start(16, 10);
				});
				run.advance(9000);
			})).toEqual({});
		});

		// Guards against calls sent to backend servers that have left, as the backup still contains their entries.
		it(`brings back no backend server that has left since the backup (${name})`, () => {
			expect(violationsOf(run => {
				run.restore(restore, () => {
					run.writeServer('s1', undefined);
					run.writeServer('s2', 'leaving');
				});
				run.advance(9000);
			})).toEqual({});
		});

		// Guards against VMs that wait for a lease which the restored store does not have, or has granted to another VM.
		it(`leaves all VMs registered if a registrar is lost soon after (${name})`, () => {
			expect(violationsOf(run => {
				run.restore(restore);
				run.advance(run.model.random.next() * 2000);
				const registrar = run.model.running.find(({followers}) => followers.size > 3)!;
				registrar.kill();
				run.advance(9000);
			})).toEqual({});
		});
	}

	// Guards against a fleet that takes all its members for lost, because the backup is older than they are.
	for (const lacksPrefix of ['vms/', 'servers/']) {
		it(`removes no member if the backup has no entries of ${lacksPrefix}`, () => {
			expect(violationsOf(run => {
				run.restore({
					awayMilliseconds: 400, backupAgeMilliseconds: 1000, rewriteMilliseconds: 100, lacksPrefix,
				});
				run.advance(9000);
			})).toEqual({});
		});
	}

	// Guards the platform against a full list by every VM at once.
	for (const vmCount of [16, 134, 311]) {
		it(`is listed by few of ${vmCount} VMs`, () => {
			const maxLists = 2 * (Math.ceil(vmCount / 2 / vmsPerReader) + standbyCount);
			const run = new RestoreRun(1, {vmCount, checksMembers: false});
			const before = run.model.store.costs.get('list') ?? 0;
			run.restore({awayMilliseconds: 300, backupAgeMilliseconds: 2000, rewriteMilliseconds: 100});
			run.advance(5000);
			expect((run.model.store.costs.get('list') ?? 0) - before).toBeLessThanOrEqual(maxLists);
		});
	}

	// Guards against evacuations that end, or begin again, because the backup is older than the operators' orders.
	it('changes no evacuation ordered since the backup', () => {
		expect(violationsOf(run => {
			run.setEvacuated('south', true);
			run.advance(4000);
			run.restore({awayMilliseconds: 500, backupAgeMilliseconds: 4000, rewriteMilliseconds: 3000}, () => {
				run.setEvacuated('south', false);
				run.setEvacuated('north', true);
			});
			for (let step = 0; step < 60; step++) {
				run.advance(100);
				for (const {identity, evacuated} of run.model.running) {
					if (evacuated.has('south') || !evacuated.has('north')) {
						run.violations.add(`${identity} evacuates ${[...evacuated].join(',')}`);
					}
				}
			}

			run.advance(6000);
		})).toEqual({});
	});

	// Guards against state of the first restore that a second one finds in progress.
	it('delays nothing if it happens twice within seconds', () => {
		expect(violationsOf(run => {
			run.restore({awayMilliseconds: 300, backupAgeMilliseconds: 2000, rewriteMilliseconds: 200}, () => {
				run.writeVersion();
			});
			run.restore({awayMilliseconds: 300, backupAgeMilliseconds: 700, rewriteMilliseconds: 200}, () => {
				run.writeVersion();
			});
			run.writeVersion();
			run.advance(9000);
		})).toEqual({});
	});
});
