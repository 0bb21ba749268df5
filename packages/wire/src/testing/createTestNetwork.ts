import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import * as fleetNetwork from '../FleetNetwork.js';

/** Creates the network of one VM of a test, on a free port. All share one secret by default. */
export function createTestNetwork(
  name: string,
  secret = 'a secret of the tests',
  maximumUnauthenticated?: number,
): fleetNetwork.FleetNetwork {
  return new fleetNetwork.FleetNetwork({
    name,
    incarnation: '1',
    failureDomain: 'a',
    secret,
    host: '127.0.0.1',
    port: 0,
    maximumUnauthenticated,
    clock: new clock.SystemClock(),
    logger: new logging.PartLogger('test'),
  });
}
