package org.primrosegauge.cli;

import java.util.ArrayList;
import java.util.List;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.NotFoundException;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.site.Customer;
import org.primrosegauge.core.site.SiteConfiguration;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Edits the customers of a configuration file. */
@Command(
    name = "customer",
    mixinStandardHelpOptions = true,
    description = "Edits the customers of a configuration file.",
    footer = {"", "Example:", "  primrosegauge customer add --file site.toml --quota 64 farm-desk"})
final class CustomerCommand extends CommandBase {

  CustomerCommand(CliEnvironment environment) {
    super(environment);
  }

  @Command(name = "list", mixinStandardHelpOptions = true, description = "Lists the customers.")
  int list(@Mixin SiteFileOptions file) throws PrimrosegaugeException {
    for (Customer customer : file.read().customers()) {
      environment()
          .out()
          .println(
              customer.id()
                  + "  quota "
                  + customer.quotaAccelerators()
                  + "  request share "
                  + customer.requestShare());
    }
    environment().out().flush();
    return ExitCodes.OK;
  }

  @Command(name = "add", mixinStandardHelpOptions = true, description = "Adds a customer.")
  int add(
      @Mixin SiteFileOptions file,
      @Parameters(paramLabel = "ID") String id,
      @Option(names = "--quota", defaultValue = "0", description = "Most accelerators; 0 for none.")
          int quota,
      @Option(names = "--request-share", defaultValue = "1", description = "Weight of requests.")
          int share)
      throws PrimrosegaugeException {
    SiteConfiguration site = file.read();
    List<Customer> customers = new ArrayList<>(site.customers());
    customers.add(new Customer(CustomerId.parse(id, "ID"), quota, share));
    return file.finish(site.withCustomers(customers), environment());
  }

  @Command(
      name = "remove",
      mixinStandardHelpOptions = true,
      description = "Removes a customer that holds no guarantee.")
  int remove(@Mixin SiteFileOptions file, @Parameters(paramLabel = "ID") String id)
      throws PrimrosegaugeException {
    SiteConfiguration site = file.read();
    List<Customer> customers = new ArrayList<>(site.customers());
    if (!customers.removeIf(customer -> customer.id().value().equals(id))) {
      throw new NotFoundException(
          "no customer '" + id + "'", "use an id that customer list shows", file.name());
    }
    return file.finish(site.withCustomers(customers), environment());
  }
}
