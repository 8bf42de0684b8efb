package org.primrosegauge.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.NotFoundException;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.site.Adjacency;
import org.primrosegauge.core.site.BlockShape;
import org.primrosegauge.core.site.Guarantee;
import org.primrosegauge.core.site.SiteConfiguration;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Edits the guarantees of a configuration file. */
@Command(
    name = "guarantee",
    mixinStandardHelpOptions = true,
    description = "Edits the guarantees of a configuration file.",
    footer = {
      "",
      "Example:",
      "  primrosegauge guarantee add --file site.toml --customer price-desk \\",
      "      --domain lakes-west --blocks 2 --accelerators 8 --adjacency rack"
    })
final class GuaranteeCommand extends CommandBase {

  /** Options that name a customer and a failure domain. */
  static final class Holder {
    @Option(names = "--customer", paramLabel = "ID", required = true, description = "Holder.")
    private String customer;

    @Option(
        names = "--domain",
        paramLabel = "ID",
        required = true,
        description = "Failure domain that carries it.")
    private String domain;

    CustomerId customer() throws InvalidInputException {
      return CustomerId.parse(customer, "--customer");
    }

    FailureDomainId domain() throws InvalidInputException {
      return FailureDomainId.parse(domain, "--domain");
    }
  }

  GuaranteeCommand(CliEnvironment environment) {
    super(environment);
  }

  @Command(name = "list", mixinStandardHelpOptions = true, description = "Lists the guarantees.")
  int list(@Mixin SiteFileOptions file) throws PrimrosegaugeException {
    for (Guarantee guarantee : file.read().guarantees()) {
      BlockShape shape = guarantee.shape();
      environment()
          .out()
          .println(
              guarantee.customer()
                  + "  "
                  + guarantee.domain()
                  + "  "
                  + shape.blocks()
                  + " x "
                  + shape.acceleratorsPerBlock()
                  + " in one "
                  + shape.adjacency().name().toLowerCase(Locale.ROOT));
    }
    environment().out().flush();
    return ExitCodes.OK;
  }

  @Command(name = "add", mixinStandardHelpOptions = true, description = "Adds a guarantee.")
  int add(
      @Mixin SiteFileOptions file,
      @Mixin Holder holder,
      @Option(names = "--blocks", defaultValue = "1", description = "Number of blocks.") int blocks,
      @Option(
              names = "--accelerators",
              required = true,
              description = "Adjacent accelerators of one block.")
          int accelerators,
      @Option(
              names = "--adjacency",
              defaultValue = "worker",
              description = "worker, rack or domain.")
          Adjacency adjacency)
      throws PrimrosegaugeException {
    if (blocks < 1 || accelerators < 1) {
      throw new InvalidInputException(
          "an empty shape", "use 1 or more", "--blocks, --accelerators");
    }
    SiteConfiguration site = file.read();
    List<Guarantee> guarantees = new ArrayList<>(site.guarantees());
    guarantees.add(
        new Guarantee(
            holder.customer(), holder.domain(), new BlockShape(blocks, accelerators, adjacency)));
    return file.finish(site.withGuarantees(guarantees), environment());
  }

  @Command(
      name = "remove",
      mixinStandardHelpOptions = true,
      description = "Removes all guarantees of a customer in a failure domain.")
  int remove(@Mixin SiteFileOptions file, @Mixin Holder holder) throws PrimrosegaugeException {
    SiteConfiguration site = file.read();
    CustomerId customer = holder.customer();
    FailureDomainId domain = holder.domain();
    List<Guarantee> guarantees = new ArrayList<>(site.guarantees());
    if (!guarantees.removeIf(
        each -> each.customer().equals(customer) && each.domain().equals(domain))) {
      throw new NotFoundException(
          "no guarantee of '" + customer + "' in '" + domain + "'",
          "use a pair that guarantee list shows",
          file.name());
    }
    return file.finish(site.withGuarantees(guarantees), environment());
  }
}
