import {expect} from 'earl';
import {RestoreRun} from './restore-harness.test.ts';

const dataCentres = ['north', 'south'] as const;
const steps = 10;

/** One random event among restores of the store: changes by their owners, lost VMs, and evacuations. */
function play(run: RestoreRun): void {
	const {random, running} = run.model;
	const choice = random.next();
	if (choice < 0.35) {
		run.restore({
			awayMilliseconds: random.next() < 0.5 ? 10 : random.next() * 3000, backupAgeMilliseconds: 300 + (random.next() * 4000), rewriteMilliseconds: random.next() * 1500,
		}, () => {
			run.writeVersion();
		});
	} else if (choice < 0.55) {
		run.writeVersion();
	} else if (choice < 0.7) {
		const process = running[Math.floor(random.next() * running.length)]!;
		process.kill(random.next() < 0.5);
		run.model.start(run.model.vmIndexOf(process.address), 1000);
	} else if (choice < 0.78) {
		run.freeze(running[Math.floor(random.next() * running.length)]!, 500 + (random.next() * 4000));
	} else if (choice < 0.9) {
		run.setEvacuated(dataCentres[Math.floor(random.next() * dataCentres.length)]!, random.next() < 0.5);
	} else {
		run.loseHistory();
	}

	run.advance(random.next() * 3000);
}

describe('a store restored at any moment', function () {
	this.timeout(160_000);

	for (const seed of [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12]) {
		// Guards against a sequence of restores, lost and frozen VMs, evacuations and dropped history that leaves VMs behind the store.
		it(`delays no confirmed version and leaves all VMs in agreement (seed ${seed})`, () => {
			const run = new RestoreRun(seed, {checksMembers: false});
			for (let step = 0; step < steps; step++) {
				play(run);
			}

			run.advance(12_000);
			expect([...run.violations, ...run.differences()].slice(0, 5)).toEqual([]);
		});
	}
});
