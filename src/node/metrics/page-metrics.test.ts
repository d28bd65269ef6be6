import {expect} from 'earl';
import {PageMetrics} from './page-metrics.ts';

describe('PageMetrics', () => {
	it('counts calls and records their durations', async function () {
		const metrics = new PageMetrics();
		for (const milliseconds of [40, 140, 20_000]) {
			metrics.callEnded({
				service: 'orders', outcome: 'ran', reason: undefined, attempts: 1, milliseconds, queuedMilliseconds: 0, isGood: milliseconds < 1000,
			});
		}

		metrics.keyRefused(false);
		metrics.answerCut('caller');
		metrics.connectionClosedForRoom('callers', 'heads');
		metrics.evacuations(1);
		metrics.storeEra(2, true);
		metrics.rateLimits(2);
		metrics.rateLimitUnreadable('ordering');
		metrics.linkChanged('relayed', 3);
		metrics.attemptStarted('relayed');
		metrics.tunnelRequested('open');
		metrics.limitDatagram('malformed');
		metrics.limitRights(2, 400);
		metrics.unexpectedError();
		metrics.memoryRefused('peerMessages');
		metrics.poisonRequests('quarantined', 1);
		metrics.configurationRejected('reads');
		metrics.loadProbeSent('orders');
		metrics.platformCalled('watch', 'changes', 12);
		expect(await metrics.text()).toMatchSnapshot(this);
	});

	// Guards operators against an overload in which they cannot see who was refused.
	it('counts calls by priority', async () => {
		const metrics = new PageMetrics();
		metrics.callEnded({
			service: 'orders', outcome: 'not-run', reason: 'overloaded', attempts: 0, milliseconds: 0, queuedMilliseconds: 0, isGood: false, priority: 3,
		});
		const text = await metrics.text();
		expect(text.split('\n')).toInclude('jaydale_calls_by_priority_total{service="orders",priority="3",reason="overloaded"} 1');
	});
});
